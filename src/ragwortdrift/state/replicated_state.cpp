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

/// The first kind of section that a manifest cannot hold.
constexpr SectionKind FirstOtherKind = SectionKind::Vm;

/// Ids and keys come from outside; this bounds what each costs.
bool hasIdLength(std::string_view Text) {
  return !Text.empty() && Text.size() <= 64;
}

bool isManifestDocument(const Document &Doc) {
  return Doc.contains({SectionKind::Manifest, ""}) &&
         std::all_of(Doc.begin(), Doc.end(), [](const auto &Entry) {
           return isManifestKind(Entry.first.m_Kind);
         });
}

template <class Records, class Index>
void rebuildIndex(Records &Source, Index &Target, auto KeyOf) {
  Target.clear();
  for (auto It = Source.begin(); It != Source.end(); ++It)
    Target.emplace(KeyOf(*It), It);
}

} // namespace

std::vector<CommandResult> ReplicatedState::apply(const Envelope &Entry) {
  advance(Entry.m_Time);
  std::vector<CommandResult> Results;
  Results.reserve(Entry.m_Commands.size());
  for (const Command &Each : Entry.m_Commands)
    Results.push_back(
        std::visit([&](const auto &C) { return handle(C); }, Each));
  return Results;
}

void ReplicatedState::advance(UnixMillis Time) {
  // A new leader's clock may be behind that of the one before.
  m_Time = std::max(m_Time, Time);
  m_ClaimFloor =
      std::max(m_ClaimFloor, m_Time - limitsOf(m_Doc).m_ClaimRetention);
  // A claim was issued at most MaxIssuedAhead after it was claimed. So a
  // repeat of a dropped request is always before the floor.
  while (!m_Claims.empty() &&
         m_Claims.front().m_ClaimedAt + MaxIssuedAhead < m_ClaimFloor) {
    m_ClaimIndex.erase(m_Claims.front().m_Key.m_Value);
    m_Claims.pop_front();
  }
  while (!m_Submits.empty() &&
         m_Submits.front().m_Time < m_Time - SubmitRetention) {
    m_SubmitIndex.erase(m_Submits.front().m_Id.m_Value);
    m_Submits.pop_front();
  }
}

template <class Order>
CommandResult ReplicatedState::applyOnce(const Order &Each) {
  if (!hasIdLength(Each.m_Id.m_Value))
    return Refused{RefusalCode::BadSubmitId};
  // Submits of different kinds are never the same content.
  const std::uint64_t ContentHash =
      stableHash(encode(Each), Command(Order{}).index());
  if (const auto Found = m_SubmitIndex.find(Each.m_Id.m_Value);
      Found != m_SubmitIndex.end()) {
    if (Found->second->m_ContentHash != ContentHash)
      return Refused{RefusalCode::SubmitIdReused};
    return Resent{Found->second->m_Result};
  }
  const SubmitResult Outcome = execute(Each);
  m_Submits.push_back({Each.m_Id, ContentHash, m_Time, Outcome});
  m_SubmitIndex.emplace(m_Submits.back().m_Id.m_Value,
                        std::prev(m_Submits.end()));
  if (m_Submits.size() > MaxSubmitIds) {
    m_SubmitIndex.erase(m_Submits.front().m_Id.m_Value);
    m_Submits.pop_front();
  }
  return std::visit([](const auto &R) -> CommandResult { return R; }, Outcome);
}

SubmitResult ReplicatedState::execute(const SubmitManifest &Each) {
  if (Each.m_Base && *Each.m_Base != m_Revision)
    return Conflict{m_Revision};
  if (!isManifestDocument(Each.m_Manifest))
    return Refused{RefusalCode::BadManifest};
  // The kinds that a manifest cannot hold follow those that it can. Comparing
  // in place saves a copy of the document, which has 87 MB at the target size.
  Delta Change = diffRanges(m_Revision, m_Doc.begin(),
                            m_Doc.lower_bound({FirstOtherKind, ""}),
                            Each.m_Manifest.begin(), Each.m_Manifest.end());
  for (auto It = Change.m_Set.begin(); It != Change.m_Set.end();) {
    auto &[Key, Values] = *It;
    // A customer that is named without settings keeps or regains those stored.
    const auto Stored = Key.m_Kind == SectionKind::Customer && Values.empty()
                            ? findCustomer(CustomerId{Key.m_Name})
                            : std::nullopt;
    if (Stored && !Stored->m_RemovedAt) {
      It = Change.m_Set.erase(It);
      continue;
    }
    if (Stored)
      Values = Stored->m_Settings;
    ++It;
  }
  return Accepted{commit(std::move(Change))};
}

SubmitResult ReplicatedState::execute(const DomainOrder &Each) {
  return setOrder({SectionKind::Domain, Each.m_Domain.m_Value},
                  {SectionKind::DomainOrder, Each.m_Domain.m_Value},
                  Each.m_Change == DomainChange::Out
                      ? std::optional<std::string_view>("out")
                      : std::nullopt,
                  RefusalCode::UnknownDomain);
}

SubmitResult ReplicatedState::execute(const LeafOrder &Each) {
  return setOrder({SectionKind::Leaf, Each.m_Leaf.m_Value},
                  {SectionKind::LeafOrder, Each.m_Leaf.m_Value},
                  Each.m_Change == LeafChange::Drain
                      ? std::optional<std::string_view>("drain")
                      : std::nullopt,
                  RefusalCode::UnknownLeaf);
}

SubmitResult ReplicatedState::setOrder(const SectionKey &Subject,
                                       const SectionKey &Order,
                                       std::optional<std::string_view> State,
                                       RefusalCode Unknown) {
  // An order outlives its subject, and can then still be withdrawn.
  if (!m_Doc.contains(Subject) && (State || !m_Doc.contains(Order)))
    return Refused{Unknown};
  Delta Change{m_Revision, {}, {}};
  const auto Found = m_Doc.find(Order);
  const Section Wanted =
      State ? Section{{"state", std::string(*State)}} : Section{};
  if (State && (Found == m_Doc.end() || Found->second != Wanted))
    Change.m_Set.emplace(Order, Wanted);
  else if (!State && Found != m_Doc.end())
    Change.m_Erase.push_back(Order);
  return Accepted{commit(std::move(Change))};
}

Revision ReplicatedState::commit(Delta Change) {
  if (Change.m_Set.empty() && Change.m_Erase.empty())
    return m_Revision;
  m_Revision = Revision{m_Revision.m_Value + 1};
  keepRemovedCustomers(Change);
  applyDelta(m_Doc, Change);
  m_Deltas.push_back(std::make_shared<const Delta>(std::move(Change)));
  if (m_Deltas.size() > MaxDeltas)
    m_Deltas.pop_front();
  return m_Revision;
}

void ReplicatedState::keepRemovedCustomers(const Delta &Change) {
  for (const SectionKey &Key : Change.m_Erase)
    if (Key.m_Kind == SectionKind::Customer)
      m_RemovedCustomers.insert_or_assign(
          CustomerId{Key.m_Name}, CustomerRecord{m_Doc.at(Key), m_Revision});
  for (const auto &[Key, Values] : Change.m_Set)
    if (Key.m_Kind == SectionKind::Customer)
      m_RemovedCustomers.erase(CustomerId{Key.m_Name});
}

CommandResult ReplicatedState::handle(const SubmitManifest &Each) {
  return applyOnce(Each);
}
CommandResult ReplicatedState::handle(const DomainOrder &Each) {
  return applyOnce(Each);
}
CommandResult ReplicatedState::handle(const LeafOrder &Each) {
  return applyOnce(Each);
}

CommandResult ReplicatedState::handle(const RegisterVm &Each) {
  const Vm &V = Each.m_Vm;
  const auto IsAddress = [](const Endpoint &Address) {
    return parseEndpoint(formatEndpoint(Address)).has_value();
  };
  if (!hasIdLength(V.m_Id.m_Value) || !hasIdLength(V.m_Domain.m_Value) ||
      !IsAddress(V.m_Control) || !IsAddress(V.m_Relay) || !IsAddress(V.m_Admin))
    return Refused{RefusalCode::BadVm};
  const SectionKey Key{SectionKind::Vm, V.m_Id.m_Value};
  Section Wanted{{"domain", V.m_Domain.m_Value},
                 {"control", formatEndpoint(V.m_Control)},
                 {"relay", formatEndpoint(V.m_Relay)},
                 {"admin", formatEndpoint(V.m_Admin)},
                 {"disk", V.m_HasDisk ? "yes" : "no"}};
  Delta Change{m_Revision, {}, {}};
  const auto Found = m_Doc.find(Key);
  if (Found == m_Doc.end() || Found->second != Wanted)
    Change.m_Set.emplace(Key, std::move(Wanted));
  return Accepted{commit(std::move(Change))};
}

CommandResult ReplicatedState::handle(const RemoveVm &Each) {
  Delta Change{m_Revision, {}, {}};
  const SectionKey Key{SectionKind::Vm, Each.m_Vm.m_Value};
  if (m_Doc.contains(Key))
    Change.m_Erase.push_back(Key);
  return Accepted{commit(std::move(Change))};
}

CommandResult ReplicatedState::handle(const ClaimBooking &Each) {
  if (!hasIdLength(Each.m_Key.m_Value))
    return ClaimRefused{ClaimRefusalCode::BadKey};
  if (const Claim *Found = findClaim(Each.m_Key)) {
    if (Found->m_BodyHash != Each.m_BodyHash ||
        Found->m_Service != Each.m_Service)
      return ClaimRefused{ClaimRefusalCode::KeyReused};
    if (Found->m_Outcome)
      return ClaimDone{*Found->m_Outcome};
    return ClaimPending{Found->m_Holder, Found->m_Incarnation};
  }
  if (Each.m_IssuedAt < m_ClaimFloor)
    return ClaimRefused{ClaimRefusalCode::KeyExpired};
  if (Each.m_IssuedAt > m_Time + MaxIssuedAhead)
    return ClaimRefused{ClaimRefusalCode::IssuedInFuture};
  m_Claims.push_back({Each.m_Key, Each.m_BodyHash, Each.m_Service,
                      Each.m_Holder, Each.m_Incarnation, m_Time, std::nullopt});
  m_ClaimIndex.emplace(m_Claims.back().m_Key.m_Value,
                       std::prev(m_Claims.end()));
  return ClaimGranted{};
}

CommandResult ReplicatedState::handle(const RecordOutcome &Each) {
  const auto Found = m_ClaimIndex.find(Each.m_Key.m_Value);
  if (Found == m_ClaimIndex.end())
    return ClaimRefused{ClaimRefusalCode::NoClaim};
  Claim &Target = *Found->second;
  if (Target.m_Holder != Each.m_Holder ||
      Target.m_Incarnation != Each.m_Incarnation)
    return ClaimRefused{ClaimRefusalCode::NotHolder};
  BookingOutcome Kept = Each.m_Outcome;
  if (Kept.m_Body && Kept.m_Body->size() > MaxOutcomeBytes)
    Kept.m_Body.reset();
  // The holder may repeat the command when it does not learn of its commit.
  if (Target.m_Outcome && *Target.m_Outcome != Kept)
    return ClaimRefused{ClaimRefusalCode::HasOutcome};
  Target.m_Outcome = std::move(Kept);
  return OutcomeRecorded{};
}

CommandResult ReplicatedState::handle(const ReleaseClaim &Each) {
  const auto Found = m_ClaimIndex.find(Each.m_Key.m_Value);
  if (Found == m_ClaimIndex.end())
    return ClaimRefused{ClaimRefusalCode::NoClaim};
  const auto Target = Found->second;
  if (Target->m_Holder != Each.m_Holder ||
      Target->m_Incarnation != Each.m_Incarnation)
    return ClaimRefused{ClaimRefusalCode::NotHolder};
  if (Target->m_Outcome)
    return ClaimRefused{ClaimRefusalCode::HasOutcome};
  m_ClaimIndex.erase(Found);
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
  const auto Found = m_ClaimIndex.find(Key.m_Value);
  return Found == m_ClaimIndex.end() ? nullptr : &*Found->second;
}

std::optional<CustomerRecord>
ReplicatedState::findCustomer(const CustomerId &Id) const {
  if (const auto Found = m_Doc.find({SectionKind::Customer, Id.m_Value});
      Found != m_Doc.end())
    return CustomerRecord{Found->second, std::nullopt};
  if (const auto Found = m_RemovedCustomers.find(Id);
      Found != m_RemovedCustomers.end())
    return Found->second;
  return std::nullopt;
}

std::string ReplicatedState::snapshot() const {
  std::string Out;
  detail::ByteOutputArchive Ar(Out);
  Ar(SnapshotFormat, m_Time, m_Doc, m_Revision, m_RemovedCustomers,
     m_ClaimFloor, m_Claims, m_Submits);
  return Out;
}

Result<Done, CodecError> ReplicatedState::restore(std::string_view Bytes) {
  ReplicatedState Next;
  detail::ByteInputArchive Ar(Bytes);
  try {
    std::uint32_t Format = 0;
    Ar(Format);
    if (Format != SnapshotFormat)
      return CodecError{CodecErrorCode::BadValue, 0};
    Ar(Next.m_Time, Next.m_Doc, Next.m_Revision, Next.m_RemovedCustomers,
       Next.m_ClaimFloor, Next.m_Claims, Next.m_Submits);
  } catch (const detail::CodecException &E) {
    return E.m_Error;
  } catch (const std::exception &) {
    return CodecError{CodecErrorCode::BadValue, Ar.offset()};
  }
  if (Ar.left() != 0)
    return CodecError{CodecErrorCode::TrailingBytes, Ar.offset()};
  rebuildIndex(
      Next.m_Claims, Next.m_ClaimIndex,
      [](const Claim &C) -> std::string_view { return C.m_Key.m_Value; });
  rebuildIndex(
      Next.m_Submits, Next.m_SubmitIndex,
      [](const SubmitRecord &S) -> std::string_view { return S.m_Id.m_Value; });
  if (Next.m_ClaimIndex.size() != Next.m_Claims.size() ||
      Next.m_SubmitIndex.size() != Next.m_Submits.size())
    return CodecError{CodecErrorCode::BadValue, Ar.offset()};
  *this = std::move(Next);
  return Done{};
}

} // namespace ragwortdrift
