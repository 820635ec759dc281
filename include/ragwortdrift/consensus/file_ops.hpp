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

/// File operations of the log store in one folder; names have no path. A write
/// is durable only after sync() of the file, and a created, renamed or removed
/// name only after syncFolder(). append() returns how many bytes were written,
/// which can be fewer than asked for. prepare() creates the folder and takes
/// its lock; a lock held elsewhere is EWOULDBLOCK.
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

/// FileOps on a folder of the file system. The lock lasts as long as the
/// object.
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
  Result<Done, IoError> rename(const std::string &From, const std::string &To);
  Result<Done, IoError> remove(const std::string &Name);
  Result<Done, IoError> syncFolder();

private:
  std::string path(const std::string &Name) const {
    return m_Folder + "/" + Name;
  }
  /// The descriptor for appending to a file, -1 on an error.
  int openForAppend(const std::string &Name);
  void closeFile(const std::string &Name);

  std::string m_Folder;
  int m_FolderFd = -1;
  int m_LockFd = -1;
  std::map<std::string, int> m_Open;
};

} // namespace ragwortdrift

#endif
