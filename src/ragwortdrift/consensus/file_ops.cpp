#include "ragwortdrift/consensus/file_ops.hpp"

#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/base/time.hpp"

#include <cerrno>
#include <cstdio>
#include <dirent.h>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace ragwortdrift {

namespace {

constexpr mode_t FileMode = 0640;
constexpr const char *LockName = "lock";
/// Syncs that take this long are logged. Heartbeats wait for them, and the
/// shortest election time-out is 300 ms.
constexpr std::chrono::milliseconds SlowSync{200};

Result<Done, IoError> toResult(int ReturnValue) {
  if (ReturnValue < 0)
    return IoError{errno};
  return Done{};
}

/// Syncs an open file or folder.
Result<Done, IoError> syncDescriptor(int Fd, const std::string &Name) {
  const auto Begin = std::chrono::steady_clock::now();
  Result<Done, IoError> Outcome = toResult(::fsync(Fd));
  const auto Elapsed = std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - Begin);
  if (Elapsed >= SlowSync)
    logEvent(LogSeverity::Warning, "store.slow_sync",
             {{"file", Name}, {"elapsed_ms", Elapsed}});
  return Outcome;
}

Result<Done, IoError> syncPath(const std::string &Path) {
  int Fd = ::open(Path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (Fd < 0)
    return IoError{errno};
  Result<Done, IoError> Outcome = syncDescriptor(Fd, Path);
  ::close(Fd);
  return Outcome;
}

/// Creates a folder and its parents, and syncs the parent of each created
/// folder.
Result<Done, IoError> createFolder(const std::filesystem::path &Path) {
  std::error_code Error;
  if (std::filesystem::is_directory(Path, Error))
    return Done{};
  std::filesystem::path Parent = Path.parent_path();
  if (Parent.empty())
    Parent = ".";
  if (auto Outcome = createFolder(Parent); !isOk(Outcome))
    return Outcome;
  if (::mkdir(Path.c_str(), 0750) < 0 && errno != EEXIST)
    return IoError{errno};
  return syncPath(Parent.string());
}

} // namespace

PosixFiles::PosixFiles(PosixFiles &&Other) noexcept
    : m_Folder(std::move(Other.m_Folder)),
      m_FolderFd(std::exchange(Other.m_FolderFd, -1)),
      m_LockFd(std::exchange(Other.m_LockFd, -1)),
      m_Open(std::exchange(Other.m_Open, {})) {}

PosixFiles::~PosixFiles() {
  for (const auto &[Name, Fd] : m_Open)
    ::close(Fd);
  if (m_FolderFd >= 0)
    ::close(m_FolderFd);
  if (m_LockFd >= 0)
    ::close(m_LockFd);
}

Result<Done, IoError> PosixFiles::prepare() {
  std::filesystem::path Folder = m_Folder;
  // A trailing slash would make the folder its own parent.
  if (!Folder.has_filename())
    Folder = Folder.parent_path();
  if (auto Outcome = createFolder(Folder); !isOk(Outcome))
    return Outcome;
  m_FolderFd = ::open(m_Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (m_FolderFd < 0)
    return IoError{errno};
  m_LockFd =
      ::open(path(LockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
  if (m_LockFd < 0)
    return IoError{errno};
  return toResult(::flock(m_LockFd, LOCK_EX | LOCK_NB));
}

Result<std::vector<std::string>, IoError> PosixFiles::list() {
  DIR *Folder = ::opendir(m_Folder.c_str());
  if (!Folder)
    return IoError{errno};
  std::vector<std::string> Names;
  errno = 0;
  while (const dirent *Entry = ::readdir(Folder)) {
    std::string Name = Entry->d_name;
    if (Name != "." && Name != ".." && Name != LockName)
      Names.push_back(std::move(Name));
    errno = 0;
  }
  int Error = errno;
  ::closedir(Folder);
  if (Error != 0)
    return IoError{Error};
  return Names;
}

Result<std::string, IoError> PosixFiles::read(const std::string &Name) {
  int Fd = ::open(path(Name).c_str(), O_RDONLY | O_CLOEXEC);
  if (Fd < 0)
    return IoError{errno};
  std::string Bytes;
  std::string Buffer(std::size_t{256} * 1024, '\0');
  for (;;) {
    ssize_t Count = ::read(Fd, Buffer.data(), Buffer.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0) {
      IoError Error{errno};
      ::close(Fd);
      return Error;
    }
    if (Count == 0)
      break;
    Bytes.append(Buffer, 0, static_cast<std::size_t>(Count));
  }
  ::close(Fd);
  return Bytes;
}

Result<Done, IoError> PosixFiles::create(const std::string &Name) {
  closeFile(Name);
  int Fd =
      ::open(path(Name).c_str(),
             O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, FileMode);
  if (Fd < 0)
    return IoError{errno};
  m_Open[Name] = Fd;
  return Done{};
}

int PosixFiles::openForAppend(const std::string &Name) {
  auto It = m_Open.find(Name);
  if (It != m_Open.end())
    return It->second;
  int Fd = ::open(path(Name).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (Fd >= 0)
    m_Open[Name] = Fd;
  return Fd;
}

void PosixFiles::closeFile(const std::string &Name) {
  auto It = m_Open.find(Name);
  if (It == m_Open.end())
    return;
  ::close(It->second);
  m_Open.erase(It);
}

Result<std::size_t, IoError> PosixFiles::append(const std::string &Name,
                                                std::string_view Bytes) {
  int Fd = openForAppend(Name);
  if (Fd < 0)
    return IoError{errno};
  ssize_t Count = -1;
  do {
    Count = ::write(Fd, Bytes.data(), Bytes.size());
  } while (Count < 0 && errno == EINTR);
  if (Count < 0)
    return IoError{errno};
  return static_cast<std::size_t>(Count);
}

Result<Done, IoError> PosixFiles::sync(const std::string &Name) {
  int Fd = openForAppend(Name);
  return Fd < 0 ? toResult(Fd) : syncDescriptor(Fd, Name);
}

Result<Done, IoError> PosixFiles::truncate(const std::string &Name,
                                           std::uint64_t Size) {
  int Fd = openForAppend(Name);
  return Fd < 0 ? toResult(Fd)
                : toResult(::ftruncate(Fd, static_cast<off_t>(Size)));
}

Result<Done, IoError> PosixFiles::rename(const std::string &OldName,
                                         const std::string &NewName) {
  closeFile(OldName);
  closeFile(NewName);
  return toResult(::rename(path(OldName).c_str(), path(NewName).c_str()));
}

Result<Done, IoError> PosixFiles::remove(const std::string &Name) {
  closeFile(Name);
  return toResult(::unlink(path(Name).c_str()));
}

Result<Done, IoError> PosixFiles::syncFolder() {
  return syncDescriptor(m_FolderFd, m_Folder);
}

} // namespace ragwortdrift
