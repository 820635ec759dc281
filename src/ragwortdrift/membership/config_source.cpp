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
  const TimePoint ConfirmedAt = m_Timers.now() - Age;
  m_ConfirmedAt =
      m_ConfirmedAt ? std::max(*m_ConfirmedAt, ConfirmedAt) : ConfirmedAt;
}

std::optional<Duration> ConfigSource::age() const {
  if (!m_ConfirmedAt)
    return std::nullopt;
  return m_Timers.now() - *m_ConfirmedAt;
}

void ConfigSource::respondToPendingPulls() {
  const auto Pulls = std::move(m_PendingPulls);
  m_PendingPulls.clear();
  for (const auto &[Child, Entry] : Pulls)
    sendResponse(Entry);
}

void ConfigSource::respondTo(const VmId &Child) {
  auto Node = m_PendingPulls.extract(Child);
  sendResponse(Node.mapped());
}

Result<Done, CodecError> ConfigSource::pull(const VmId &Child,
                                            std::string_view Bytes,
                                            ReplyCallback OnReply) {
  const auto Decoded = decode<ConfigPullRequest>(Bytes);
  if (!isOk(Decoded))
    return errorOf(Decoded);
  PendingPull Pull{valueOf(Decoded), std::move(OnReply), m_Timers.now(), {}};
  if (Pull.m_Request.m_HeldRevision < m_Revision) {
    sendResponse(Pull);
    return Done{};
  }
  if (!m_PendingPulls.contains(Child) &&
      m_PendingPulls.size() >= m_Options.m_MaxPendingPulls) {
    ConfigPullResponse Response{Pull.m_Request.m_Sequence,
                                ConfigPullResponseKind::Busy, m_Revision};
    Pull.m_Reply(encode(Response), true);
    return Done{};
  }
  Pull.m_Timer = m_Timers.after(m_Options.m_LongPollTimeout,
                                [this, Child] { respondTo(Child); });
  m_PendingPulls.insert_or_assign(Child, std::move(Pull));
  return Done{};
}

void ConfigSource::sendResponse(const PendingPull &Pull) {
  ConfigPullResponse Header{Pull.m_Request.m_Sequence,
                            ConfigPullResponseKind::NoChange, m_Revision, age(),
                            m_Timers.now() - Pull.m_ReceivedAt};
  const Revision HeldRevision = Pull.m_Request.m_HeldRevision;
  if (HeldRevision < m_Revision) {
    if (m_Deltas.empty() || HeldRevision < m_Deltas.front().m_Delta.m_Base)
      return sendFullDocument(Header, Pull.m_Reply);
    Header.m_Kind = ConfigPullResponseKind::Deltas;
    for (const RetainedDelta &Entry : m_Deltas)
      if (Entry.m_Delta.m_Base >= HeldRevision)
        Header.m_Deltas.push_back(Entry.m_Delta);
  }
  Pull.m_Reply(encode(Header), true);
}

void ConfigSource::sendFullDocument(const ConfigPullResponse &Header,
                                    const ReplyCallback &OnReply) {
  ConfigPullResponse Part = Header;
  Part.m_Kind = ConfigPullResponseKind::Full;
  Part.m_HasMore = true;
  std::size_t Bytes = 0;
  for (const auto &Entry : m_Document) {
    const std::size_t Size = encode(Entry).size();
    if (Bytes != 0 && Bytes + Size > m_Options.m_MaxPartBytes) {
      OnReply(encode(Part), false);
      Part.m_Sections.clear();
      ++Part.m_PartIndex;
      Bytes = 0;
    }
    Bytes += Size;
    Part.m_Sections.emplace_back(Entry);
  }
  Part.m_HasMore = false;
  OnReply(encode(Part), true);
}

} // namespace ragwortdrift
