#ifndef RAGWORTDRIFT_TESTING_SIM_DISK_HPP
#define RAGWORTDRIFT_TESTING_SIM_DISK_HPP

#include "ragwortdrift/consensus/file_ops.hpp"

#include <algorithm>
#include <cerrno>
#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace ragwortdrift {

/// Thrown by a file operation in which the simulated machine crashes.
struct SimCrash {};

/// An in-memory folder that distinguishes the contents visible to a process
/// from those that survive a power failure. It injects crashes, short writes,
/// torn writes, a full disk and failed syncs.
class SimDisk {
public:
  explicit SimDisk(std::uint64_t Seed) : m_Engine(Seed) {}

  /// Injects a crash in the Nth modifying operation from now on.
  void crashAfterOperations(std::size_t Operations) {
    m_OperationsUntilCrash = Operations;
  }
  void cancelCrash() { m_OperationsUntilCrash.reset(); }
  void setFull(bool Full) { m_Full = Full; }
  void setSyncFailure(bool Fails) { m_SyncFailure = Fails; }

  /// Simulates the end of the process: the lock is released and written data
  /// stays visible.
  void onProcessExit() { m_Locked = false; }

  /// Simulates a power failure: some of the unsynced names and bytes are lost.
  void onPowerLoss() {
    m_Locked = false;
    // The file system journals name changes in order, so a prefix of them
    // survives.
    std::size_t SurvivingChanges = m_Engine() % (m_NameChanges.size() + 1);
    for (std::size_t I = 0; I < SurvivingChanges; ++I)
      m_NameChanges[I](m_DurableNames);
    m_NameChanges.clear();
    m_Names = m_DurableNames;
    for (auto &[Name, File] : m_Names) {
      applyTornWrite(*File);
      File->m_Synced = File->m_Bytes;
    }
  }

  std::map<std::string, std::string> contents() const {
    std::map<std::string, std::string> Output;
    for (const auto &[Name, File] : m_Names)
      Output[Name] = File->m_Bytes;
    return Output;
  }
  /// Gives direct access to the contents of a file, to simulate bit rot.
  std::string &bytes(const std::string &Name) {
    return m_Names.at(Name)->m_Bytes;
  }

private:
  friend class SimFiles;
  struct File {
    std::string m_Bytes;
    std::string m_Synced;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  /// Keeps a random part of the bytes appended after the last sync, some of
  /// which may be overwritten with garbage.
  void applyTornWrite(File &Target) {
    std::size_t Common =
        std::min(Target.m_Bytes.size(), Target.m_Synced.size());
    if (Target.m_Bytes.compare(0, Common, Target.m_Synced, 0, Common) != 0 ||
        Target.m_Bytes.size() < Target.m_Synced.size()) {
      if (m_Engine() % 2)
        Target.m_Bytes = Target.m_Synced;
      return;
    }
    std::size_t Unsynced = Target.m_Bytes.size() - Common;
    Target.m_Bytes.resize(Common + m_Engine() % (Unsynced + 1));
    if (m_Engine() % 3 == 0)
      for (std::size_t I = Common; I < Target.m_Bytes.size(); ++I)
        if (m_Engine() % 4 == 0)
          Target.m_Bytes[I] =
              static_cast<char>(m_Engine() % 2 ? 0 : m_Engine());
  }

  void countOperation() {
    if (m_OperationsUntilCrash && (*m_OperationsUntilCrash)-- <= 1) {
      m_OperationsUntilCrash.reset();
      throw SimCrash{};
    }
  }

  void applyNameChange(std::function<void(Names &)> Apply) {
    Apply(m_Names);
    m_NameChanges.push_back(std::move(Apply));
  }

  std::mt19937_64 m_Engine;
  Names m_Names;
  Names m_DurableNames;
  std::vector<std::function<void(Names &)>> m_NameChanges;
  std::optional<std::size_t> m_OperationsUntilCrash;
  bool m_Full = false;
  bool m_SyncFailure = false;
  bool m_Locked = false;
};

/// Implements FileOps on a SimDisk.
class SimFiles {
public:
  explicit SimFiles(std::shared_ptr<SimDisk> Disk) : m_Disk(std::move(Disk)) {}

  Result<Done, IoError> prepare() {
    if (std::exchange(m_Disk->m_Locked, true))
      return IoError{EWOULDBLOCK};
    return Done{};
  }
  Result<std::vector<std::string>, IoError> list() {
    std::vector<std::string> Output;
    for (const auto &[Name, File] : m_Disk->m_Names)
      Output.push_back(Name);
    return Output;
  }
  Result<std::string, IoError> read(const std::string &Name) {
    auto It = m_Disk->m_Names.find(Name);
    if (It == m_Disk->m_Names.end())
      return IoError{ENOENT};
    return It->second->m_Bytes;
  }
  Result<Done, IoError> create(const std::string &Name) {
    m_Disk->countOperation();
    if (m_Disk->m_Full)
      return IoError{ENOSPC};
    auto NewFile = std::make_shared<SimDisk::File>();
    m_Disk->applyNameChange(
        [=](SimDisk::Names &Names) { Names[Name] = NewFile; });
    return Done{};
  }
  Result<std::size_t, IoError> append(const std::string &Name,
                                      std::string_view Bytes) {
    SimDisk::File &File = *m_Disk->m_Names.at(Name);
    std::size_t PartialSize = m_Disk->m_Engine() % (Bytes.size() + 1);
    if (m_Disk->m_Full) {
      File.m_Bytes += Bytes.substr(0, PartialSize / 2);
      return IoError{ENOSPC};
    }
    try {
      m_Disk->countOperation();
    } catch (const SimCrash &) {
      File.m_Bytes += Bytes.substr(0, PartialSize);
      throw;
    }
    std::size_t WrittenBytes =
        m_Disk->m_Engine() % 4 ? Bytes.size() : PartialSize;
    WrittenBytes = std::max<std::size_t>(WrittenBytes, 1);
    File.m_Bytes += Bytes.substr(0, WrittenBytes);
    return WrittenBytes;
  }
  Result<Done, IoError> sync(const std::string &Name) {
    m_Disk->countOperation();
    if (m_Disk->m_SyncFailure)
      return IoError{EIO};
    SimDisk::File &File = *m_Disk->m_Names.at(Name);
    File.m_Synced = File.m_Bytes;
    return Done{};
  }
  Result<Done, IoError> truncate(const std::string &Name, std::uint64_t Size) {
    m_Disk->countOperation();
    m_Disk->m_Names.at(Name)->m_Bytes.resize(Size);
    return Done{};
  }
  Result<Done, IoError> rename(const std::string &OldName,
                               const std::string &NewName) {
    m_Disk->countOperation();
    m_Disk->applyNameChange([=](SimDisk::Names &Names) {
      Names[NewName] = Names.at(OldName);
      Names.erase(OldName);
    });
    return Done{};
  }
  Result<Done, IoError> remove(const std::string &Name) {
    m_Disk->countOperation();
    m_Disk->applyNameChange([=](SimDisk::Names &Names) { Names.erase(Name); });
    return Done{};
  }
  Result<Done, IoError> syncFolder() {
    m_Disk->countOperation();
    if (m_Disk->m_SyncFailure)
      return IoError{EIO};
    m_Disk->m_DurableNames = m_Disk->m_Names;
    m_Disk->m_NameChanges.clear();
    return Done{};
  }

private:
  std::shared_ptr<SimDisk> m_Disk;
};

} // namespace ragwortdrift

#endif
