#ifndef RAGWORTDRIFT_CONSENSUS_FILE_OPS_HPP
#define RAGWORTDRIFT_CONSENSUS_FILE_OPS_HPP

#include "ragwortdrift/base/result.hpp"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift {

/// A failed file operation; m_Errno is the system's error number.
struct IoError {
  int m_Errno = 0;
};

/// File operations of the log store within one folder; file names contain no
/// path. Written data is durable only after sync() of the file; creating,
/// renaming or removing a file is durable only after syncFolder(). append()
/// returns the number of bytes written, which can be fewer than requested.
/// prepare() creates the folder and locks it; it fails with EWOULDBLOCK if
/// another process holds the lock.
template <class F>
concept FileOps = requires(F Files, const std::string &Name,
                           std::string_view Bytes, std::uint64_t Size) {
  { Files.prepare() } -> std::same_as<Result<Done, IoError>>;
  { Files.list() } -> std::same_as<Result<std::vector<std::string>, IoError>>;
  { Files.read(Name) } -> std::same_as<Result<std::string, IoError>>;
  { Files.create(Name) } -> std::same_as<Result<Done, IoError>>;
  { Files.append(Name, Bytes) } -> std::same_as<Result<std::size_t, IoError>>;
  { Files.sync(Name) } -> std::same_as<Result<Done, IoError>>;
  { Files.truncate(Name, Size) } -> std::same_as<Result<Done, IoError>>;
  { Files.rename(Name, Name) } -> std::same_as<Result<Done, IoError>>;
  { Files.remove(Name) } -> std::same_as<Result<Done, IoError>>;
  { Files.syncFolder() } -> std::same_as<Result<Done, IoError>>;
};

/// Implements FileOps on a folder of the file system. The lock is held for the
/// lifetime of the object.
class PosixFiles {
public:
  explicit PosixFiles(std::string Folder) : m_Folder(std::move(Folder)) {}
  PosixFiles(PosixFiles &&Other) noexcept;
  PosixFiles(const PosixFiles &) = delete;
  PosixFiles &operator=(const PosixFiles &) = delete;
  PosixFiles &operator=(PosixFiles &&) = delete;
  ~PosixFiles();

  Result<Done, IoError> prepare();
  Result<std::vector<std::string>, IoError> list();
  Result<std::string, IoError> read(const std::string &Name);
  Result<Done, IoError> create(const std::string &Name);
  Result<std::size_t, IoError> append(const std::string &Name,
                                      std::string_view Bytes);
  Result<Done, IoError> sync(const std::string &Name);
  Result<Done, IoError> truncate(const std::string &Name, std::uint64_t Size);
  Result<Done, IoError> rename(const std::string &OldName,
                               const std::string &NewName);
  Result<Done, IoError> remove(const std::string &Name);
  Result<Done, IoError> syncFolder();

private:
  std::string path(const std::string &Name) const {
    return m_Folder + "/" + Name;
  }
  /// Returns the file descriptor for appending, or -1 on an error.
  int openForAppend(const std::string &Name);
  void closeFile(const std::string &Name);

  std::string m_Folder;
  int m_FolderFd = -1;
  int m_LockFd = -1;
  std::map<std::string, int> m_Open;
};

} // namespace ragwortdrift

#endif
