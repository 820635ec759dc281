#ifndef RAGWORTDRIFT_MEMBERSHIP_CONFIG_SOURCE_HPP
#define RAGWORTDRIFT_MEMBERSHIP_CONFIG_SOURCE_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/config/document.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdrift {

/// A request on the path /config/pull.
struct ConfigPullRequest {
  std::uint64_t m_Sequence = 0;
  Revision m_HeldRevision;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_HeldRevision);
  }
};

enum class ConfigPullResponseKind : std::uint8_t {
  NoChange,
  Deltas,
  Full,
  Busy
};
template <> struct EnumNames<ConfigPullResponseKind> {
  static constexpr std::array Entries{
      EnumName<ConfigPullResponseKind>{ConfigPullResponseKind::NoChange,
                                       "no_change"},
      EnumName<ConfigPullResponseKind>{ConfigPullResponseKind::Deltas,
                                       "deltas"},
      EnumName<ConfigPullResponseKind>{ConfigPullResponseKind::Full, "full"},
      EnumName<ConfigPullResponseKind>{ConfigPullResponseKind::Busy, "busy"}};
};

/// One message of the response to a pull. A full document is sent in several
/// messages to keep each below the message size limit.
struct ConfigPullResponse {
  std::uint64_t m_Sequence = 0;
  ConfigPullResponseKind m_Kind{};
  /// The current revision of the parent.
  Revision m_Revision;
  /// Time from the confirmation of m_Revision by the leader as the newest until
  /// this message was sent; not set if the parent has no confirmation.
  std::optional<Duration> m_Age;
  /// Time for which the parent held the request back.
  Duration m_HoldTime{0};
  std::vector<Delta> m_Deltas;
  /// Full only: the index of the message, its sections of the document, and
  /// whether more messages follow.
  std::uint32_t m_PartIndex = 0;
  std::vector<std::pair<SectionKey, Section>> m_Sections;
  bool m_HasMore = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Kind, m_Revision, m_Age, m_HoldTime, m_Deltas, m_PartIndex,
       m_Sections, m_HasMore);
  }
};

struct ConfigSourceOptions {
  /// Longest time for which a pull waits for a newer revision. Voters use 700
  /// ms, so that a confirmation reaches the whole tree before it is 2 s old.
  Duration m_LongPollTimeout{1'000'000};
  /// Maximum number of pending pulls: those of the 8 children, and those of a
  /// failed child's children, which then pull from here.
  std::size_t m_MaxPendingPulls = 32;
  /// Limits on the deltas kept for children that are behind.
  std::size_t m_MaxDeltas = 256;
  std::size_t m_MaxDeltaBytes = std::size_t{512} << 10;
  /// Largest content of one message of a full document.
  std::size_t m_MaxPartBytes = std::size_t{256} << 10;
};

/// The configuration of a VM, and the responses to its children's pulls. A
/// voter updates it from the replicated state, other VMs through a
/// ConfigFollower. The revision never decreases.
class ConfigSource {
public:
  /// Sends one message of a response. Last marks the final one.
  using ReplyCallback = std::function<void(std::string Message, bool Last)>;

  explicit ConfigSource(TimerService &Timers, ConfigSourceOptions Options = {});

  /// Applies a delta. Returns false unless its base is the current revision.
  bool apply(const Delta &Change);
  /// Replaces the document. Returns false unless its revision is newer.
  bool install(Revision Rev, Document Doc);
  /// Records that the leader confirmed the current revision as the newest this
  /// long ago.
  void confirm(Duration Age);
  /// Responds to all pending pulls. A voter calls it after it has applied
  /// changes; a ConfigFollower calls it after each response of its parent, so
  /// that the age does not add up over the levels of the tree.
  void respondToPendingPulls();

  /// Responds to a pull immediately if there is a newer revision, otherwise
  /// later.
  Result<Done, CodecError> pull(const VmId &Child, std::string_view Bytes,
                                ReplyCallback OnReply);
  /// Removes the pending pull of a child whose stream has ended.
  void cancel(const VmId &Child) { m_PendingPulls.erase(Child); }

  Revision revision() const { return m_Revision; }
  const Document &document() const { return m_Document; }
  /// Returns the time since the leader confirmed the revision, or std::nullopt
  /// before the first confirmation.
  std::optional<Duration> age() const;

private:
  struct PendingPull {
    ConfigPullRequest m_Request;
    ReplyCallback m_Reply;
    TimePoint m_ReceivedAt;
    TimerService::Subscription m_Timer;
  };
  struct RetainedDelta {
    Delta m_Delta;
    std::size_t m_Bytes = 0;
  };

  void sendResponse(const PendingPull &Pull);
  void sendFullDocument(const ConfigPullResponse &Header,
                        const ReplyCallback &OnReply);
  void respondTo(const VmId &Child);

  TimerService &m_Timers;
  const ConfigSourceOptions m_Options;
  Revision m_Revision;
  Document m_Document;
  std::optional<TimePoint> m_ConfirmedAt;
  std::deque<RetainedDelta> m_Deltas;
  std::size_t m_DeltaBytes = 0;
  std::map<VmId, PendingPull> m_PendingPulls;
};

} // namespace ragwortdrift

#endif
