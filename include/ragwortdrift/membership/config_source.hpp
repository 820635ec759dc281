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

/// A request of the path /config/pull.
struct ConfigPull {
  std::uint64_t m_Sequence = 0;
  Revision m_Held;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Held);
  }
};

enum class ConfigAnswerKind : std::uint8_t { NoChange, Deltas, Full, Busy };
template <> struct EnumNames<ConfigAnswerKind> {
  static constexpr std::array Entries{
      EnumName<ConfigAnswerKind>{ConfigAnswerKind::NoChange, "no_change"},
      EnumName<ConfigAnswerKind>{ConfigAnswerKind::Deltas, "deltas"},
      EnumName<ConfigAnswerKind>{ConfigAnswerKind::Full, "full"},
      EnumName<ConfigAnswerKind>{ConfigAnswerKind::Busy, "busy"}};
};

/// One message of the response to a pull. A full document comes in several
/// messages, so that each is below the limit on messages.
struct ConfigAnswer {
  std::uint64_t m_Sequence = 0;
  ConfigAnswerKind m_Kind{};
  /// What the parent holds.
  Revision m_Revision;
  /// How long ago the leader confirmed m_Revision as the newest, when this was
  /// sent; nothing when the parent never heard so.
  std::optional<Duration> m_Age;
  /// How long the parent held the pull.
  Duration m_Waited{0};
  std::vector<Delta> m_Deltas;
  /// Of Full: the index of the message, its sections of the document, and
  /// whether more messages follow.
  std::uint32_t m_Part = 0;
  std::vector<std::pair<SectionKey, Section>> m_Sections;
  bool m_More = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Kind, m_Revision, m_Age, m_Waited, m_Deltas, m_Part,
       m_Sections, m_More);
  }
};

struct ConfigSourceOptions {
  /// How long a pull waits for a newer revision. Voters use 700 ms, so that
  /// news of freshness reaches the whole tree before the age of 2 s.
  Duration m_Hold{1'000'000};
  /// Pulls that wait at a time: 8 children, and those of a lost parent's
  /// children that come in its place.
  std::size_t m_MaxWaiting = 32;
  /// Deltas kept for children that are behind.
  std::size_t m_MaxDeltas = 256;
  std::size_t m_MaxDeltaBytes = std::size_t{512} << 10;
  /// Content of one message of a full document.
  std::size_t m_MaxChunkBytes = std::size_t{256} << 10;
};

/// The configuration that a VM holds, and the answers to its children's pulls.
/// A voter fills it from the replicated state, other VMs by a ConfigFollower.
/// The revision never goes back.
class ConfigSource {
public:
  /// Sends one message of a response; Last ends the response.
  using Reply = std::function<void(std::string Message, bool Last)>;

  explicit ConfigSource(TimerService &Timers, ConfigSourceOptions Options = {});

  /// Applies a delta; false unless its base is the revision held.
  bool apply(const Delta &Change);
  /// Replaces the document; false unless its revision is newer.
  bool install(Revision Rev, Document Doc);
  /// Notes that the leader confirmed the held revision as the newest this long
  /// ago.
  void confirm(Duration Age);
  /// Answers all waiting pulls. A voter calls it after it has applied changes;
  /// a ConfigFollower does so whenever its parent has answered, so that the age
  /// does not add up over the levels of the tree.
  void answerWaiting();

  /// Answers a pull now if there is something newer, otherwise later.
  Result<Done, CodecError> pull(const VmId &From, std::string_view Bytes,
                                Reply Answer);
  /// Forgets the waiting pull of a child whose stream has ended.
  void cancel(const VmId &From) { m_Waiting.erase(From); }

  Revision revision() const { return m_Revision; }
  const Document &document() const { return m_Document; }
  /// How long ago the leader confirmed the revision; nothing before the first
  /// time.
  std::optional<Duration> age() const;

private:
  struct WaitingPull {
    ConfigPull m_Pull;
    Reply m_Reply;
    TimePoint m_Since;
    TimerService::Subscription m_Timer;
  };
  struct KeptDelta {
    Delta m_Delta;
    std::size_t m_Bytes = 0;
  };

  void answer(const WaitingPull &Waiting);
  void sendFull(const ConfigAnswer &Head, const Reply &Answer);
  void answerOne(const VmId &From);

  TimerService &m_Timers;
  const ConfigSourceOptions m_Options;
  Revision m_Revision;
  Document m_Document;
  std::optional<TimePoint> m_Confirmed;
  std::deque<KeptDelta> m_Deltas;
  std::size_t m_DeltaBytes = 0;
  std::map<VmId, WaitingPull> m_Waiting;
};

} // namespace ragwortdrift

#endif
