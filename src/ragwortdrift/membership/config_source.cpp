#include "ragwortdrift/membership/config_source.hpp"

#include <algorithm>

namespace ragwortdrift {

ConfigSource::ConfigSource(TimerService &Timers, ConfigSourceOptions Options)
    : m_Timers(Timers), m_Options(Options) {}

bool ConfigSource::apply(const Delta &Change) {
  if (Change.m_Base != m_Revision)
    return false;
  applyDelta(m_Document, Change);
  m_Revision = Revision(m_Revision.m_Value + 1);
  m_Deltas.push_back({Change, encode(Change).size()});
  m_DeltaBytes += m_Deltas.back().m_Bytes;
  while (m_Deltas.size() > m_Options.m_MaxDeltas ||
         m_DeltaBytes > m_Options.m_MaxDeltaBytes) {
    m_DeltaBytes -= m_Deltas.front().m_Bytes;
    m_Deltas.pop_front();
  }
  return true;
}

bool ConfigSource::install(Revision Rev, Document Doc) {
  if (Rev <= m_Revision)
    return false;
  m_Revision = Rev;
  m_Document = std::move(Doc);
  m_Deltas.clear();
  m_DeltaBytes = 0;
  return true;
}

void ConfigSource::confirm(Duration Age) {
  const TimePoint At = m_Timers.now() - Age;
  m_Confirmed = m_Confirmed ? std::max(*m_Confirmed, At) : At;
}

std::optional<Duration> ConfigSource::age() const {
  if (!m_Confirmed)
    return std::nullopt;
  return m_Timers.now() - *m_Confirmed;
}

void ConfigSource::answerWaiting() {
  const auto Waiting = std::move(m_Waiting);
  m_Waiting.clear();
  for (const auto &[From, Entry] : Waiting)
    answer(Entry);
}

void ConfigSource::answerOne(const VmId &From) {
  auto Node = m_Waiting.extract(From);
  answer(Node.mapped());
}

Result<Done, CodecError>
ConfigSource::pull(const VmId &From, std::string_view Bytes, Reply Answer) {
  const auto Decoded = decode<ConfigPull>(Bytes);
  if (!isOk(Decoded))
    return errorOf(Decoded);
  WaitingPull Waiting{valueOf(Decoded), std::move(Answer), m_Timers.now(), {}};
  if (Waiting.m_Pull.m_Held < m_Revision) {
    answer(Waiting);
    return Done{};
  }
  if (!m_Waiting.contains(From) && m_Waiting.size() >= m_Options.m_MaxWaiting) {
    ConfigAnswer Busy{Waiting.m_Pull.m_Sequence, ConfigAnswerKind::Busy,
                      m_Revision};
    Waiting.m_Reply(encode(Busy), true);
    return Done{};
  }
  Waiting.m_Timer =
      m_Timers.after(m_Options.m_Hold, [this, From] { answerOne(From); });
  m_Waiting.insert_or_assign(From, std::move(Waiting));
  return Done{};
}

void ConfigSource::answer(const WaitingPull &Waiting) {
  ConfigAnswer Head{Waiting.m_Pull.m_Sequence, ConfigAnswerKind::NoChange,
                    m_Revision, age(), m_Timers.now() - Waiting.m_Since};
  const Revision Held = Waiting.m_Pull.m_Held;
  if (Held < m_Revision) {
    if (m_Deltas.empty() || Held < m_Deltas.front().m_Delta.m_Base)
      return sendFull(Head, Waiting.m_Reply);
    Head.m_Kind = ConfigAnswerKind::Deltas;
    for (const KeptDelta &Kept : m_Deltas)
      if (Kept.m_Delta.m_Base >= Held)
        Head.m_Deltas.push_back(Kept.m_Delta);
  }
  Waiting.m_Reply(encode(Head), true);
}

void ConfigSource::sendFull(const ConfigAnswer &Head, const Reply &Answer) {
  ConfigAnswer Part = Head;
  Part.m_Kind = ConfigAnswerKind::Full;
  Part.m_More = true;
  std::size_t Bytes = 0;
  for (const auto &Entry : m_Document) {
    const std::size_t Size = encode(Entry).size();
    if (Bytes != 0 && Bytes + Size > m_Options.m_MaxChunkBytes) {
      Answer(encode(Part), false);
      Part.m_Sections.clear();
      ++Part.m_Part;
      Bytes = 0;
    }
    Bytes += Size;
    Part.m_Sections.emplace_back(Entry);
  }
  Part.m_More = false;
  Answer(encode(Part), true);
}

} // namespace ragwortdrift
