#ifndef RAGWORTDRIFT_POLICY_CRASH_SUSPECTS_HPP
#define RAGWORTDRIFT_POLICY_CRASH_SUSPECTS_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace ragwortdrift {

/// Hash of what stays the same when a caller sends a request again.
using RequestFingerprint =
    StrongId<struct RequestFingerprintTag, std::uint64_t>;
/// Hash of a leaf's id and start time: one run of a leaf.
using LeafRun = StrongId<struct LeafRunTag, std::uint64_t>;

/// How a request with a given fingerprint is handled.
enum class CrashVerdict {
  /// Nothing speaks against it.
  Clear,
  /// Leafs crashed while they ran it; it is sent to one leaf at a time until
  /// one of them answers.
  Suspect,
  /// It is refused without being sent.
  Condemned
};
template <> struct EnumNames<CrashVerdict> {
  using Row = EnumName<CrashVerdict>;
  static constexpr std::array Entries{
      Row{CrashVerdict::Clear, "clear"}, Row{CrashVerdict::Suspect, "suspect"},
      Row{CrashVerdict::Condemned, "condemned"}};
};

/// Crashes and answers of one fingerprint, as exchanged between VMs.
struct CrashRecord {
  RequestFingerprint m_Fingerprint;
  /// Leaf runs that ended while they ran the request; true if the request was
  /// a suspect and had been sent to this leaf only.
  std::map<LeafRun, bool> m_Crashes;
  /// A leaf has answered the request since the first crash.
  bool m_Answered = false;
  /// Time since the latest crash.
  Duration m_Age{0};

  friend bool operator==(const CrashRecord &, const CrashRecord &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Fingerprint, m_Crashes, m_Answered, m_Age);
  }
};

/// Requests that crash the leafs that run them, from the attempts of this VM
/// and from the records of others. A request that crashes every leaf is
/// refused after a few crashes; any answer to it clears it. Merging is
/// idempotent and does not depend on the order. In virtual time, without I/O.
class CrashSuspects {
public:
  /// Bounds the memory; the record with the oldest crash is evicted first.
  static constexpr std::size_t MaxRecords = 1024;
  /// Bounds a record. A fingerprint is condemned long before.
  static constexpr std::size_t MaxCrashes = 16;

  /// Self spreads the times at which VMs send a condemned request again.
  explicit CrashSuspects(VmId Self = {}) : m_Self(std::move(Self)) {}

  bool empty() const { return m_Records.empty(); }
  std::size_t size() const { return m_Records.size(); }
  CrashVerdict verdict(RequestFingerprint Fingerprint, TimePoint Now) const;
  /// Time for which this VM goes on refusing a condemned request.
  Duration refusedFor(RequestFingerprint Fingerprint, TimePoint Now) const;

  /// A leaf is confirmed to have ended while it ran the request. IsTrial: the
  /// request was a suspect and had been sent to no other leaf.
  void onCrash(RequestFingerprint Fingerprint, LeafRun Leaf, bool IsTrial,
               TimePoint Now);
  /// A leaf has answered the request. Returns true if that clears a suspect.
  bool onAnswer(RequestFingerprint Fingerprint);
  /// Adds what another VM knows. Returns the records that were news, in full.
  std::vector<CrashRecord> merge(const std::vector<CrashRecord> &Records,
                                 TimePoint Now);

  /// Returns the records that onCrash() and onAnswer() have changed since the
  /// last call.
  std::vector<CrashRecord> takeChanges(TimePoint Now);
  /// Returns at most Limit records, the latest crashes first.
  std::vector<CrashRecord> latest(std::size_t Limit, TimePoint Now) const;

private:
  struct Entry {
    std::map<LeafRun, bool> m_Crashes;
    bool m_Answered = false;
    TimePoint m_CrashedAt;
    bool m_Changed = false;
  };

  static std::size_t trialCount(const Entry &Item);
  /// True if the evidence suffices to refuse the request for a while.
  static bool isCondemned(const Entry &Item);
  /// Time after the latest crash during which no VM sends a condemned request.
  static Duration holdTime(const Entry &Item);
  static Duration lifetime(const Entry &Item);
  TimePoint refusedUntil(RequestFingerprint Fingerprint,
                         const Entry &Item) const;
  const Entry *find(RequestFingerprint Fingerprint, TimePoint Now) const;
  static CrashRecord toRecord(RequestFingerprint Fingerprint, const Entry &Item,
                              TimePoint Now);
  static void limitCrashes(Entry &Item);
  void evict(TimePoint Now);

  VmId m_Self;
  std::map<RequestFingerprint, Entry> m_Records;
};

} // namespace ragwortdrift

#endif
