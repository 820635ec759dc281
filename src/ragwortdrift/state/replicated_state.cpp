#include "ragwortdrift/state/replicated_state.hpp"
#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/config/manifest.hpp"
#include "ragwortdrift/config/settings.hpp"

#include <algorithm>
#include <limits>
#include <type_traits>

namespace ragwortdrift {

namespace {

constexpr std::uint32_t SnapshotFormat = 1;

/// The first section kind that a manifest cannot contain.
constexpr SectionKind FirstNonManifestKind = SectionKind::Vm;

/// Limits the size of ids and keys, which come from outside.
bool hasIdLength(std::string_view Text) {
  return !Text.empty() && Text.size() <= 64;
}

bool isManifestDocument(const Document &Doc) {
  return Doc.contains({SectionKind::Manifest, ""}) &&
         std::all_of(Doc.begin(), Doc.end(), [](const auto &Entry) {
           return isManifestKind(Entry.first.m_Kind);
         });
}

template <class RecordList, class Index>
void rebuildIndex(RecordList &Records, Index &Target, auto KeyOf) {
  Target.clear();
  for (auto It = Records.begin(); It != Records.end(); ++It)
    Target.emplace(KeyOf(*It), It);
}

} // namespace

std::vector<CommandResult> ReplicatedState::apply(const CommandBatch &Entry) {
  advanceTime(Entry.m_Time);
  std::vector<CommandResult> Results;
  Results.reserve(Entry.m_Commands.size());
  for (const Command &Item : Entry.m_Commands)
    Results.push_back(
        std::visit([&](const auto &Cmd) { return handle(Cmd); }, Item));
  return Results;
}

void ReplicatedState::advanceTime(UnixMillis Time) {
  // The clock of a new leader may be behind that of the previous one.
  m_Time = std::max(m_Time, Time);
  m_MinIssuedAt =
      std::max(m_MinIssuedAt, m_Time - limitsOf(m_Document).m_ClaimRetention);
  // A request is issued at most MaxIssuedAtSkew after its claim, so a retry of
  // a request whose claim was dropped was always issued before m_MinIssuedAt.
  while (!m_Claims.empty() &&
         m_Claims.front().m_ClaimedAt + MaxIssuedAtSkew < m_MinIssuedAt) {
    m_ClaimIndex.erase(m_Claims.front().m_Key.m_Value);
    m_Claims.pop_front();
  }
  while (!m_SubmitRecords.empty() &&
         m_SubmitRecords.front().m_Time < m_Time - SubmitIdRetention) {
    m_SubmitIndex.erase(m_SubmitRecords.front().m_Id.m_Value);
    m_SubmitRecords.pop_front();
  }
}

template <class CommandT>
CommandResult ReplicatedState::applyOnce(const CommandT &Cmd) {
  if (!hasIdLength(Cmd.m_Id.m_Value))
    return Refused{RefusalCode::BadSubmitId};
  // The command type is part of the hash, so commands of different types never
  // have equal content.
  const std::uint64_t ContentHash =
      stableHash(encode(Cmd), Command(CommandT{}).index());
  if (const auto It = m_SubmitIndex.find(Cmd.m_Id.m_Value);
      It != m_SubmitIndex.end()) {
    if (It->second->m_ContentHash != ContentHash)
      return Refused{RefusalCode::SubmitIdReused};
    return DuplicateSubmit{It->second->m_Result};
  }
  const SubmitResult Result = execute(Cmd);
  m_SubmitRecords.push_back({Cmd.m_Id, ContentHash, m_Time, Result});
  m_SubmitIndex.emplace(m_SubmitRecords.back().m_Id.m_Value,
                        std::prev(m_SubmitRecords.end()));
  if (m_SubmitRecords.size() > MaxSubmitIds) {
    m_SubmitIndex.erase(m_SubmitRecords.front().m_Id.m_Value);
    m_SubmitRecords.pop_front();
  }
  return std::visit(
      [](const auto &Alternative) -> CommandResult { return Alternative; },
      Result);
}

SubmitResult ReplicatedState::execute(const SubmitManifest &Cmd) {
  if (Cmd.m_Base && *Cmd.m_Base != m_Revision)
    return Conflict{m_Revision};
  if (!isManifestDocument(Cmd.m_Manifest))
    return Refused{RefusalCode::BadManifest};
  // The section kinds that a manifest cannot contain sort after those that it
  // can. Comparing the ranges in place avoids a copy of the document, which has
  // 87 MB at the target size.
  Delta Change = diffRanges(m_Revision, m_Document.begin(),
                            m_Document.lower_bound({FirstNonManifestKind, ""}),
                            Cmd.m_Manifest.begin(), Cmd.m_Manifest.end());
  for (auto It = Change.m_Set.begin(); It != Change.m_Set.end();) {
    auto &[Key, Values] = *It;
    // A customer listed without settings keeps its stored settings or has them
    // restored.
    const auto StoredCustomer =
        Key.m_Kind == SectionKind::Customer && Values.empty()
            ? findCustomer(CustomerId{Key.m_Name})
            : std::nullopt;
    if (StoredCustomer && !StoredCustomer->m_RemovedAt) {
      It = Change.m_Set.erase(It);
      continue;
    }
    if (StoredCustomer)
      Values = StoredCustomer->m_Settings;
    ++It;
  }
  return Accepted{commit(std::move(Change))};
}

SubmitResult ReplicatedState::execute(const DomainCommand &Cmd) {
  return setOperatorCommand({SectionKind::Domain, Cmd.m_Domain.m_Value},
                            {SectionKind::DomainCommand, Cmd.m_Domain.m_Value},
                            Cmd.m_Change == DomainChange::Out
                                ? std::optional<std::string_view>("out")
                                : std::nullopt,
                            RefusalCode::UnknownDomain);
}

SubmitResult ReplicatedState::execute(const LeafCommand &Cmd) {
  return setOperatorCommand({SectionKind::Leaf, Cmd.m_Leaf.m_Value},
                            {SectionKind::LeafCommand, Cmd.m_Leaf.m_Value},
                            Cmd.m_Change == LeafChange::Drain
                                ? std::optional<std::string_view>("drain")
                                : std::nullopt,
                            RefusalCode::UnknownLeaf);
}

SubmitResult ReplicatedState::setOperatorCommand(
    const SectionKey &SubjectKey, const SectionKey &CommandKey,
    std::optional<std::string_view> State, RefusalCode NotFoundCode) {
  // An operator command remains after its domain or leaf has been removed and
  // can still be withdrawn.
  if (!m_Document.contains(SubjectKey) &&
      (State || !m_Document.contains(CommandKey)))
    return Refused{NotFoundCode};
  Delta Change{m_Revision, {}, {}};
  const auto It = m_Document.find(CommandKey);
  const Section Content =
      State ? Section{{"state", std::string(*State)}} : Section{};
  if (State && (It == m_Document.end() || It->second != Content))
    Change.m_Set.emplace(CommandKey, Content);
  else if (!State && It != m_Document.end())
    Change.m_Erase.push_back(CommandKey);
  return Accepted{commit(std::move(Change))};
}

Revision ReplicatedState::commit(Delta Change) {
  if (Change.m_Set.empty() && Change.m_Erase.empty())
    return m_Revision;
  m_Revision = Revision{m_Revision.m_Value + 1};
  retainRemovedCustomers(Change);
  applyDelta(m_Document, Change);
  m_Deltas.push_back(std::make_shared<const Delta>(std::move(Change)));
  if (m_Deltas.size() > MaxRetainedDeltas)
    m_Deltas.pop_front();
  return m_Revision;
}

void ReplicatedState::retainRemovedCustomers(const Delta &Change) {
  for (const SectionKey &Key : Change.m_Erase)
    if (Key.m_Kind == SectionKind::Customer)
      m_RemovedCustomers.insert_or_assign(
          CustomerId{Key.m_Name},
          CustomerRecord{m_Document.at(Key), m_Revision});
  for (const auto &[Key, Values] : Change.m_Set)
    if (Key.m_Kind == SectionKind::Customer)
      m_RemovedCustomers.erase(CustomerId{Key.m_Name});
}

CommandResult ReplicatedState::handle(const SubmitManifest &Cmd) {
  return applyOnce(Cmd);
}
CommandResult ReplicatedState::handle(const DomainCommand &Cmd) {
  return applyOnce(Cmd);
}
CommandResult ReplicatedState::handle(const LeafCommand &Cmd) {
  return applyOnce(Cmd);
}

CommandResult ReplicatedState::handle(const RegisterVm &Cmd) {
  const Vm &Info = Cmd.m_Vm;
  const auto IsAddress = [](const Endpoint &Address) {
    return parseEndpoint(formatEndpoint(Address)).has_value();
  };
  if (!hasIdLength(Info.m_Id.m_Value) || !hasIdLength(Info.m_Domain.m_Value) ||
      !IsAddress(Info.m_Control) || !IsAddress(Info.m_Relay) ||
      !IsAddress(Info.m_Admin))
    return Refused{RefusalCode::BadVm};
  const SectionKey Key{SectionKind::Vm, Info.m_Id.m_Value};
  Section Content{{"domain", Info.m_Domain.m_Value},
                  {"control", formatEndpoint(Info.m_Control)},
                  {"relay", formatEndpoint(Info.m_Relay)},
                  {"admin", formatEndpoint(Info.m_Admin)},
                  {"disk", Info.m_HasDisk ? "yes" : "no"}};
  Delta Change{m_Revision, {}, {}};
  const auto It = m_Document.find(Key);
  if (It == m_Document.end() || It->second != Content)
    Change.m_Set.emplace(Key, std::move(Content));
  return Accepted{commit(std::move(Change))};
}

CommandResult ReplicatedState::handle(const RemoveVm &Cmd) {
  Delta Change{m_Revision, {}, {}};
  const SectionKey Key{SectionKind::Vm, Cmd.m_Vm.m_Value};
  if (m_Document.contains(Key))
    Change.m_Erase.push_back(Key);
  return Accepted{commit(std::move(Change))};
}

CommandResult ReplicatedState::handle(const ClaimBooking &Cmd) {
  if (!hasIdLength(Cmd.m_Key.m_Value))
    return ClaimRefused{ClaimRefusalCode::BadKey};
  if (const Claim *Existing = findClaim(Cmd.m_Key)) {
    if (Existing->m_BodyHash != Cmd.m_BodyHash ||
        Existing->m_Service != Cmd.m_Service)
      return ClaimRefused{ClaimRefusalCode::KeyReused};
    if (Existing->m_Outcome)
      return ClaimDone{*Existing->m_Outcome};
    return ClaimPending{Existing->m_Holder, Existing->m_Incarnation};
  }
  if (Cmd.m_IssuedAt < m_MinIssuedAt)
    return ClaimRefused{ClaimRefusalCode::KeyExpired};
  if (Cmd.m_IssuedAt > m_Time + MaxIssuedAtSkew)
    return ClaimRefused{ClaimRefusalCode::IssuedInFuture};
  m_Claims.push_back({Cmd.m_Key, Cmd.m_BodyHash, Cmd.m_Service, Cmd.m_Holder,
                      Cmd.m_Incarnation, m_Time, std::nullopt});
  m_ClaimIndex.emplace(m_Claims.back().m_Key.m_Value,
                       std::prev(m_Claims.end()));
  return ClaimGranted{};
}

CommandResult ReplicatedState::handle(const RecordOutcome &Cmd) {
  const auto It = m_ClaimIndex.find(Cmd.m_Key.m_Value);
  if (It == m_ClaimIndex.end())
    return ClaimRefused{ClaimRefusalCode::NoClaim};
  Claim &Target = *It->second;
  if (Target.m_Holder != Cmd.m_Holder ||
      Target.m_Incarnation != Cmd.m_Incarnation)
    return ClaimRefused{ClaimRefusalCode::NotHolder};
  BookingOutcome Outcome = Cmd.m_Outcome;
  if (Outcome.m_Body && Outcome.m_Body->size() > MaxOutcomeBodyBytes)
    Outcome.m_Body.reset();
  // The holder may retry the command if it does not learn that it was
  // committed.
  if (Target.m_Outcome && *Target.m_Outcome != Outcome)
    return ClaimRefused{ClaimRefusalCode::HasOutcome};
  Target.m_Outcome = std::move(Outcome);
  return OutcomeRecorded{};
}

CommandResult ReplicatedState::handle(const ReleaseClaim &Cmd) {
  const auto It = m_ClaimIndex.find(Cmd.m_Key.m_Value);
  if (It == m_ClaimIndex.end())
    return ClaimRefused{ClaimRefusalCode::NoClaim};
  const auto Target = It->second;
  if (Target->m_Holder != Cmd.m_Holder ||
      Target->m_Incarnation != Cmd.m_Incarnation)
    return ClaimRefused{ClaimRefusalCode::NotHolder};
  if (Target->m_Outcome)
    return ClaimRefused{ClaimRefusalCode::HasOutcome};
  m_ClaimIndex.erase(It);
  m_Claims.erase(Target);
  return ClaimReleased{};
}

std::optional<std::vector<std::shared_ptr<const Delta>>>
ReplicatedState::deltasSince(Revision Since) const {
  if (Since > m_Revision ||
      m_Revision.m_Value - Since.m_Value > m_Deltas.size())
    return std::nullopt;
  const auto Count =
      static_cast<std::ptrdiff_t>(m_Revision.m_Value - Since.m_Value);
  return std::vector(m_Deltas.end() - Count, m_Deltas.end());
}

const Claim *ReplicatedState::findClaim(const IdempotencyKey &Key) const {
  const auto It = m_ClaimIndex.find(Key.m_Value);
  return It == m_ClaimIndex.end() ? nullptr : &*It->second;
}

std::optional<CustomerRecord>
ReplicatedState::findCustomer(const CustomerId &Id) const {
  if (const auto It = m_Document.find({SectionKind::Customer, Id.m_Value});
      It != m_Document.end())
    return CustomerRecord{It->second, std::nullopt};
  if (const auto It = m_RemovedCustomers.find(Id);
      It != m_RemovedCustomers.end())
    return It->second;
  return std::nullopt;
}

std::string ReplicatedState::snapshot() const {
  std::string Bytes;
  detail::ByteOutputArchive Ar(Bytes);
  Ar(SnapshotFormat, m_Time, m_Document, m_Revision, m_RemovedCustomers,
     m_MinIssuedAt, m_Claims, m_SubmitRecords);
  return Bytes;
}

Result<Done, CodecError> ReplicatedState::restore(std::string_view Bytes) {
  ReplicatedState NewState;
  detail::ByteInputArchive Ar(Bytes);
  try {
    std::uint32_t Format = 0;
    Ar(Format);
    if (Format != SnapshotFormat)
      return CodecError{CodecErrorCode::BadValue, 0};
    Ar(NewState.m_Time, NewState.m_Document, NewState.m_Revision,
       NewState.m_RemovedCustomers, NewState.m_MinIssuedAt, NewState.m_Claims,
       NewState.m_SubmitRecords);
  } catch (const detail::CodecException &Error) {
    return Error.m_Error;
  } catch (const std::exception &) {
    return CodecError{CodecErrorCode::BadValue, Ar.offset()};
  }
  if (Ar.left() != 0)
    return CodecError{CodecErrorCode::TrailingBytes, Ar.offset()};
  rebuildIndex(
      NewState.m_Claims, NewState.m_ClaimIndex,
      [](const Claim &Item) -> std::string_view { return Item.m_Key.m_Value; });
  rebuildIndex(NewState.m_SubmitRecords, NewState.m_SubmitIndex,
               [](const SubmitRecord &Item) -> std::string_view {
                 return Item.m_Id.m_Value;
               });
  if (NewState.m_ClaimIndex.size() != NewState.m_Claims.size() ||
      NewState.m_SubmitIndex.size() != NewState.m_SubmitRecords.size())
    return CodecError{CodecErrorCode::BadValue, Ar.offset()};
  *this = std::move(NewState);
  return Done{};
}

} // namespace ragwortdrift
