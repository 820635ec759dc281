#ifndef RAGWORTDRIFT_STATE_REPLICATED_STATE_HPP
#define RAGWORTDRIFT_STATE_REPLICATED_STATE_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/state/command.hpp"

#include <cereal/types/list.hpp>

#include <chrono>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortdrift {

/// An active claim.
struct Claim {
  IdempotencyKey m_Key;
  std::uint64_t m_BodyHash = 0;
  ServiceName m_Service;
  VmId m_Holder;
  Incarnation m_Incarnation;
  /// Log time of the claim.
  UnixMillis m_ClaimedAt{0};
  std::optional<BookingOutcome> m_Outcome;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Key, m_BodyHash, m_Service, m_Holder, m_Incarnation, m_ClaimedAt,
       m_Outcome);
  }
};

/// A customer's settings, and the revision that removed the customer, if any.
struct CustomerRecord {
  Section m_Settings;
  std::optional<Revision> m_RemovedAt;

  friend bool operator==(const CustomerRecord &,
                         const CustomerRecord &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Settings, m_RemovedAt);
  }
};

/// Limit on how far ahead of the log's time a request may have been issued. It
/// allows for clock skew and bounds how long a claim is kept.
inline constexpr std::chrono::minutes MaxIssuedAtSkew{5};
/// Limits on the retained submit ids: their age in log time, and their number.
inline constexpr std::chrono::hours SubmitIdRetention{7 * 24};
inline constexpr std::size_t MaxSubmitIds = 100'000;
/// Maximum number of recent deltas kept for receivers that are behind.
inline constexpr std::size_t MaxRetainedDeltas = 2000;

/// The replicated state machine. The same log entries in the same order produce
/// the same states and results on every voter: it reads no clock and does no
/// I/O. Not thread-safe.
class ReplicatedState {
public:
  ReplicatedState() = default;
  ReplicatedState(const ReplicatedState &) = delete;
  ReplicatedState &operator=(const ReplicatedState &) = delete;
  ReplicatedState(ReplicatedState &&) = default;
  ReplicatedState &operator=(ReplicatedState &&) = default;

  /// Applies a committed log entry. Returns one result per command.
  std::vector<CommandResult> apply(const CommandBatch &Entry);

  const Document &document() const { return m_Document; }
  Revision revision() const { return m_Revision; }
  /// The latest time of any applied log entry.
  UnixMillis time() const { return m_Time; }

  /// Returns the deltas from Since to the current revision, or std::nullopt if
  /// they are no longer kept or Since is newer than the current revision. The
  /// deltas are not part of a snapshot.
  std::optional<std::vector<std::shared_ptr<const Delta>>>
  deltasSince(Revision Since) const;

  /// Returns the claim on a key, or null if there is none. The pointer is valid
  /// until the next call of apply().
  const Claim *findClaim(const IdempotencyKey &Key) const;
  std::size_t claimCount() const { return m_Claims.size(); }
  std::size_t submitIdCount() const { return m_SubmitRecords.size(); }

  /// Returns a customer's settings, even after its removal.
  std::optional<CustomerRecord> findCustomer(const CustomerId &Id) const;

  /// Serializes the state without the recent deltas.
  std::string snapshot() const;
  /// Replaces the state with that of a snapshot. On failure the state is
  /// unchanged.
  Result<Done, CodecError> restore(std::string_view Bytes);

private:
  struct SubmitRecord {
    SubmitId m_Id;
    std::uint64_t m_ContentHash = 0;
    UnixMillis m_Time{0};
    SubmitResult m_Result;

    template <class Archive> void serialize(Archive &Ar) {
      Ar(m_Id, m_ContentHash, m_Time, m_Result);
    }
  };

  void advanceTime(UnixMillis Time);
  template <class CommandT> CommandResult applyOnce(const CommandT &Cmd);
  SubmitResult execute(const SubmitManifest &Cmd);
  SubmitResult execute(const DomainCommand &Cmd);
  SubmitResult execute(const LeafCommand &Cmd);
  SubmitResult setOperatorCommand(const SectionKey &SubjectKey,
                                  const SectionKey &CommandKey,
                                  std::optional<std::string_view> State,
                                  RefusalCode NotFoundCode);
  Revision commit(Delta Change);
  void retainRemovedCustomers(const Delta &Change);

  CommandResult handle(const SubmitManifest &Cmd);
  CommandResult handle(const DomainCommand &Cmd);
  CommandResult handle(const LeafCommand &Cmd);
  CommandResult handle(const RegisterVm &Cmd);
  CommandResult handle(const RemoveVm &Cmd);
  CommandResult handle(const ClaimBooking &Cmd);
  CommandResult handle(const RecordOutcome &Cmd);
  CommandResult handle(const ReleaseClaim &Cmd);

  UnixMillis m_Time{0};
  Document m_Document;
  Revision m_Revision;
  std::deque<std::shared_ptr<const Delta>> m_Deltas;
  std::map<CustomerId, CustomerRecord> m_RemovedCustomers;

  /// Ordered by the time of the claim, so that the oldest are dropped first.
  std::list<Claim> m_Claims;
  /// Keys point into m_Claims.
  std::unordered_map<std::string_view, std::list<Claim>::iterator> m_ClaimIndex;
  /// A request issued before this time may have had a claim that was dropped.
  /// It never decreases, even if the retention is extended.
  UnixMillis m_MinIssuedAt{0};

  /// Oldest first.
  std::list<SubmitRecord> m_SubmitRecords;
  /// Keys point into m_SubmitRecords.
  std::unordered_map<std::string_view, std::list<SubmitRecord>::iterator>
      m_SubmitIndex;
};

} // namespace ragwortdrift

#endif
