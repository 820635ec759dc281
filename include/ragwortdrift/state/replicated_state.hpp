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

/// A claim that is in force.
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

/// A customer's settings, and the revision that removed it if one did.
struct CustomerRecord {
  Section m_Settings;
  std::optional<Revision> m_RemovedAt;

  friend bool operator==(const CustomerRecord &,
                         const CustomerRecord &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Settings, m_RemovedAt);
  }
};

/// How far ahead of the log's time a request may have been issued. It allows
/// for clocks that differ and bounds the time for which a claim is kept.
inline constexpr std::chrono::minutes MaxIssuedAhead{5};
/// For how long of log time, and how many, submit ids are remembered.
inline constexpr std::chrono::hours SubmitRetention{7 * 24};
inline constexpr std::size_t MaxSubmitIds = 100'000;
/// How many of the latest deltas are kept for receivers that are behind.
inline constexpr std::size_t MaxDeltas = 2000;

/// The replicated state machine. Equal envelopes in equal order lead to equal
/// states and results on every voter; it reads no clock and does no I/O. Not
/// thread-safe.
class ReplicatedState {
public:
  ReplicatedState() = default;
  ReplicatedState(const ReplicatedState &) = delete;
  ReplicatedState &operator=(const ReplicatedState &) = delete;
  ReplicatedState(ReplicatedState &&) = default;
  ReplicatedState &operator=(ReplicatedState &&) = default;

  /// Applies a committed log entry; one result for each command.
  std::vector<CommandResult> apply(const Envelope &Entry);

  const Document &document() const { return m_Doc; }
  Revision revision() const { return m_Revision; }
  /// The latest time seen in the log.
  UnixMillis time() const { return m_Time; }

  /// The deltas that lead from Since to the current revision, or nothing when
  /// they are not kept or Since is in the future. The window is not part of a
  /// snapshot.
  std::optional<std::vector<std::shared_ptr<const Delta>>>
  deltasSince(Revision Since) const;

  /// The claim of a key; null when there is none. Valid until the next apply.
  const Claim *findClaim(const IdempotencyKey &Key) const;
  std::size_t claimCount() const { return m_Claims.size(); }
  std::size_t submitIdCount() const { return m_Submits.size(); }

  /// A customer's settings, also after its removal.
  std::optional<CustomerRecord> findCustomer(const CustomerId &Id) const;

  /// The whole state as bytes, without the window of deltas.
  std::string snapshot() const;
  /// Replaces the state by that of a snapshot. On failure it is unchanged.
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

  void advance(UnixMillis Time);
  template <class Order> CommandResult applyOnce(const Order &Each);
  SubmitResult execute(const SubmitManifest &Each);
  SubmitResult execute(const DomainOrder &Each);
  SubmitResult execute(const LeafOrder &Each);
  SubmitResult setOrder(const SectionKey &Subject, const SectionKey &Order,
                        std::optional<std::string_view> State,
                        RefusalCode Unknown);
  Revision commit(Delta Change);
  void keepRemovedCustomers(const Delta &Change);

  CommandResult handle(const SubmitManifest &Each);
  CommandResult handle(const DomainOrder &Each);
  CommandResult handle(const LeafOrder &Each);
  CommandResult handle(const RegisterVm &Each);
  CommandResult handle(const RemoveVm &Each);
  CommandResult handle(const ClaimBooking &Each);
  CommandResult handle(const RecordOutcome &Each);
  CommandResult handle(const ReleaseClaim &Each);

  UnixMillis m_Time{0};
  Document m_Doc;
  Revision m_Revision;
  std::deque<std::shared_ptr<const Delta>> m_Deltas;
  std::map<CustomerId, CustomerRecord> m_RemovedCustomers;

  /// In the order of claiming, which is the order of dropping.
  std::list<Claim> m_Claims;
  /// Keys point into m_Claims.
  std::unordered_map<std::string_view, std::list<Claim>::iterator> m_ClaimIndex;
  /// Requests issued before this may have had a claim that was dropped. It
  /// never goes backward, also when the retention is lengthened.
  UnixMillis m_ClaimFloor{0};

  /// Oldest first.
  std::list<SubmitRecord> m_Submits;
  /// Keys point into m_Submits.
  std::unordered_map<std::string_view, std::list<SubmitRecord>::iterator>
      m_SubmitIndex;
};

} // namespace ragwortdrift

#endif
