#include "ragwortdrift/state/replicated_state.hpp"
#include "ragwortdrift/testing/random_document.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <set>

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;

namespace {

const int Seeds[] = {1,  2,  3,  4,  5,  6,  7,  8,  9,  10, 11, 12,
                     13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24};

/// A model that keeps the whole history and searches it for each answer. The
/// number of submit ids stays below MaxSubmitIds.
class Oracle {
public:
  std::vector<CommandResult> apply(const Envelope &Entry) {
    m_Now = std::max(m_Now, Entry.m_Time);
    const auto Limits = m_Docs.back().find({SectionKind::Limits, ""});
    const int Retention =
        Limits == m_Docs.back().end()
            ? 24
            : std::stoi(Limits->second.at("claim_retention_h"));
    m_Floor = std::max(m_Floor, UnixMillis(m_Now - Retention * 1h));
    std::vector<CommandResult> Results;
    for (const Command &Each : Entry.m_Commands)
      Results.push_back(std::visit([&](const auto &C) { return on(C); }, Each));
    return Results;
  }

  std::vector<Document> m_Docs{{}};
  std::map<std::string, Section> m_LastSettings;

private:
  struct Sent {
    std::string m_Content;
    UnixMillis m_Time;
    SubmitResult m_Result;
  };
  struct Grant {
    ClaimBooking m_Claim;
    UnixMillis m_Time;
    std::optional<BookingOutcome> m_Outcome;
    bool m_Released = false;
  };

  Accepted become(Document Next) {
    for (const auto &[Key, Values] : Next)
      if (Key.m_Kind == SectionKind::Customer)
        m_LastSettings[Key.m_Name] = Values;
    if (Next != m_Docs.back())
      m_Docs.push_back(std::move(Next));
    return {Revision{m_Docs.size() - 1}};
  }

  template <class Order> CommandResult on(const Order &Each) {
    for (auto It = m_Sent.rbegin(); It != m_Sent.rend(); ++It) {
      if (It->first != Each.m_Id || It->second.m_Time < m_Now - 7 * 24h)
        continue;
      if (It->second.m_Content != encode(Command(Each)))
        return Refused{RefusalCode::SubmitIdReused};
      return Resent{It->second.m_Result};
    }
    const SubmitResult First = run(Each);
    m_Sent.push_back({Each.m_Id, {encode(Command(Each)), m_Now, First}});
    return std::visit([](auto R) -> CommandResult { return R; }, First);
  }

  SubmitResult run(const SubmitManifest &Each) {
    if (Each.m_Base && Each.m_Base->m_Value != m_Docs.size() - 1)
      return Conflict{Revision{m_Docs.size() - 1}};
    Document Next = Each.m_Manifest;
    for (auto &[Key, Values] : Next)
      if (Key.m_Kind == SectionKind::Customer && Values.empty())
        Values = m_LastSettings[Key.m_Name];
    for (const auto &[Key, Values] : m_Docs.back())
      if (Key.m_Kind >= SectionKind::Vm)
        Next[Key] = Values;
    return become(Next);
  }
  SubmitResult run(const DomainOrder &Each) {
    return order(SectionKind::Domain, SectionKind::DomainOrder,
                 Each.m_Domain.m_Value,
                 Each.m_Change == DomainChange::Out ? "out" : "",
                 RefusalCode::UnknownDomain);
  }
  SubmitResult run(const LeafOrder &Each) {
    return order(SectionKind::Leaf, SectionKind::LeafOrder, Each.m_Leaf.m_Value,
                 Each.m_Change == LeafChange::Drain ? "drain" : "",
                 RefusalCode::UnknownLeaf);
  }
  SubmitResult order(SectionKind Subject, SectionKind Kind,
                     const std::string &Name, const std::string &State,
                     RefusalCode Unknown) {
    Document Next = m_Docs.back();
    const bool Known = Next.contains({Subject, Name});
    const bool Ordered = Next.contains({Kind, Name});
    if (!Known && !(State.empty() && Ordered))
      return Refused{Unknown};
    if (State.empty())
      Next.erase({Kind, Name});
    else
      Next[{Kind, Name}] = {{"state", State}};
    return become(Next);
  }

  CommandResult on(const RegisterVm &Each) {
    Document Next = m_Docs.back();
    Next[{SectionKind::Vm, Each.m_Vm.m_Id.m_Value}] = {
        {"domain", Each.m_Vm.m_Domain.m_Value},
        {"control", "127.0.0.1:1"},
        {"relay", "127.0.0.1:2"},
        {"admin", "127.0.0.1:3"},
        {"disk", Each.m_Vm.m_HasDisk ? "yes" : "no"}};
    return become(Next);
  }
  CommandResult on(const RemoveVm &Each) {
    Document Next = m_Docs.back();
    Next.erase({SectionKind::Vm, Each.m_Vm.m_Value});
    return become(Next);
  }

  Grant *find(const IdempotencyKey &Key) {
    for (auto It = m_Grants.rbegin(); It != m_Grants.rend(); ++It)
      if (It->m_Claim.m_Key == Key && !It->m_Released &&
          It->m_Time + 5min >= m_Floor)
        return &*It;
    return nullptr;
  }
  CommandResult on(const ClaimBooking &Each) {
    if (const Grant *G = find(Each.m_Key)) {
      if (G->m_Claim.m_BodyHash != Each.m_BodyHash ||
          G->m_Claim.m_Service != Each.m_Service)
        return ClaimRefused{ClaimRefusalCode::KeyReused};
      if (G->m_Outcome)
        return ClaimDone{*G->m_Outcome};
      return ClaimPending{G->m_Claim.m_Holder, G->m_Claim.m_Incarnation};
    }
    if (Each.m_IssuedAt < m_Floor)
      return ClaimRefused{ClaimRefusalCode::KeyExpired};
    if (Each.m_IssuedAt > m_Now + 5min)
      return ClaimRefused{ClaimRefusalCode::IssuedInFuture};
    m_Grants.push_back({Each, m_Now, std::nullopt});
    return ClaimGranted{};
  }
  template <class End> std::optional<ClaimRefusalCode> refuse(const End &Each) {
    const Grant *G = find(Each.m_Key);
    if (!G)
      return ClaimRefusalCode::NoClaim;
    if (G->m_Claim.m_Holder != Each.m_Holder ||
        G->m_Claim.m_Incarnation != Each.m_Incarnation)
      return ClaimRefusalCode::NotHolder;
    return std::nullopt;
  }
  CommandResult on(const RecordOutcome &Each) {
    if (const auto Code = refuse(Each))
      return ClaimRefused{*Code};
    BookingOutcome Kept = Each.m_Outcome;
    if (Kept.m_Body && Kept.m_Body->size() > 4096)
      Kept.m_Body = std::nullopt;
    Grant *G = find(Each.m_Key);
    if (G->m_Outcome && !(*G->m_Outcome == Kept))
      return ClaimRefused{ClaimRefusalCode::HasOutcome};
    G->m_Outcome = Kept;
    return OutcomeRecorded{};
  }
  CommandResult on(const ReleaseClaim &Each) {
    if (const auto Code = refuse(Each))
      return ClaimRefused{*Code};
    Grant *G = find(Each.m_Key);
    if (G->m_Outcome)
      return ClaimRefused{ClaimRefusalCode::HasOutcome};
    G->m_Released = true;
    return ClaimReleased{};
  }

  UnixMillis m_Now{0};
  UnixMillis m_Floor{0};
  std::vector<std::pair<SubmitId, Sent>> m_Sent;
  std::vector<Grant> m_Grants;
};

/// Callers, operators and VMs that repeat, race and are late.
class Workload {
public:
  explicit Workload(Random &Rng) : m_Rng(Rng) {}

  Envelope next(Revision Current) {
    const auto Kind = m_Rng() % 20;
    if (Kind == 0)
      m_Clock += std::chrono::minutes(m_Rng() % 2000);
    else if (Kind > 2)
      m_Clock += std::chrono::seconds(m_Rng() % 120);
    // A new leader's clock may be behind.
    const UnixMillis Time =
        Kind == 1 ? UnixMillis(m_Clock - std::chrono::minutes(m_Rng() % 200))
                  : m_Clock;
    Envelope Entry{Time, {}};
    for (auto Count = 1 + m_Rng() % 4; Count > 0; --Count)
      Entry.m_Commands.push_back(command(Current));
    return Entry;
  }

private:
  SubmitId submitId() {
    return SubmitId{numbered("op", m_NextSubmit += m_Rng() % 3 != 0)};
  }

  Command command(Revision Current) {
    // Resends of an operator who did not get the answer.
    if (!m_Submitted.empty() && m_Rng() % 8 == 0)
      return m_Submitted[m_Submitted.size() - 1 -
                         m_Rng() %
                             std::min<std::size_t>(m_Submitted.size(), 40)];
    switch (m_Rng() % 12) {
    case 0: {
      std::optional<Revision> Base;
      if (m_Rng() % 4)
        Base =
            Revision{Current.m_Value - std::min(Current.m_Value, m_Rng() % 2)};
      return sent(SubmitManifest{submitId(), Base, randomManifest(m_Rng)});
    }
    case 1:
      return sent(DomainOrder{submitId(),
                              FailureDomain{numbered("d", m_Rng() % 4)},
                              DomainChange(m_Rng() % 2)});
    case 2:
      return sent(LeafOrder{submitId(), LeafId{numbered("l", m_Rng() % 13)},
                            LeafChange(m_Rng() % 2)});
    case 3: {
      const auto Port = [](std::uint16_t P) {
        return Endpoint{"127.0.0.1", P};
      };
      return RegisterVm{{VmId{numbered("v", m_Rng() % 3)},
                         FailureDomain{numbered("d", m_Rng() % 2)}, Port(1),
                         Port(2), Port(3), m_Rng() % 2 == 0}};
    }
    case 4:
      return RemoveVm{VmId{numbered("v", m_Rng() % 3)}};
    case 5:
    case 6:
    case 7:
    case 8:
      return claim();
    case 9:
      return ReleaseClaim{key(), holder(), Incarnation{m_Rng() % 2}};
    default:
      return RecordOutcome{
          key(), holder(), Incarnation{m_Rng() % 2},
          BookingOutcome{200, std::string(m_Rng() % 8 ? 4 : 4097, 'b')}};
    }
  }

  Command sent(Command Each) {
    m_Submitted.push_back(Each);
    return Each;
  }
  VmId holder() { return VmId{numbered("v", m_Rng() % 2)}; }
  IdempotencyKey key() {
    return IdempotencyKey{
        numbered("k", m_NextKey - std::min(m_NextKey, m_Rng() % 6))};
  }
  Command claim() {
    if (m_Rng() % 3 == 0)
      ++m_NextKey;
    auto Key = m_Rng() % 8
                   ? key()
                   : IdempotencyKey{numbered("k", m_Rng() % (m_NextKey + 1))};
    // A caller keeps the time of issue of its key.
    const auto Issued =
        m_Issued
            .try_emplace(Key,
                         m_Rng() % 4
                             ? m_Clock - std::chrono::minutes(m_Rng() % 60)
                             : m_Clock + std::chrono::seconds(m_Rng() % 400))
            .first->second;
    return ClaimBooking{std::move(Key),           m_Rng() % 10 ? 7u : 8u,
                        ServiceName{"s"},         holder(),
                        Incarnation{m_Rng() % 2}, Issued};
  }

  Random &m_Rng;
  UnixMillis m_Clock{1000h};
  std::uint64_t m_NextSubmit = 0;
  std::uint64_t m_NextKey = 0;
  std::vector<Command> m_Submitted;
  std::map<IdempotencyKey, UnixMillis> m_Issued;
};

/// The alternative of a result, and the code of a refusal.
using CommandResultKind = std::pair<std::size_t, int>;
CommandResultKind kindOf(const CommandResult &Found) {
  int Code = 0;
  if (const auto *Refusal = std::get_if<Refused>(&Found))
    Code = static_cast<int>(Refusal->m_Code);
  if (const auto *Refusal = std::get_if<ClaimRefused>(&Found))
    Code = static_cast<int>(Refusal->m_Code);
  return {Found.index(), Code};
}

/// The rules of section 5.3 and 5.4 of the design that hold whatever the model
/// says.
class Invariants {
public:
  void check(int Seed, int Step, const Envelope &Entry,
             const std::vector<CommandResult> &Results,
             const ReplicatedState &State) {
    for (std::size_t I = 0; I < Results.size(); ++I) {
      if (std::holds_alternative<ClaimGranted>(Results[I])) {
        const auto &Claim = std::get<ClaimBooking>(Entry.m_Commands[I]);
        cr_assert(m_Held.insert(Claim.m_Key).second,
                  "seed %d step %d: claim %s granted twice", Seed, Step,
                  Claim.m_Key.m_Value.c_str());
      } else if (std::holds_alternative<ClaimReleased>(Results[I])) {
        m_Held.erase(std::get<ReleaseClaim>(Entry.m_Commands[I]).m_Key);
      }
      if (const auto *A = std::get_if<Accepted>(&Results[I])) {
        cr_assert(A->m_Revision >= m_Revision,
                  "seed %d step %d: revision went back", Seed, Step);
        if (const auto *Submit =
                std::get_if<SubmitManifest>(&Entry.m_Commands[I]);
            Submit && Submit->m_Base)
          cr_assert(*Submit->m_Base == m_Revision,
                    "seed %d step %d: accepted on another base", Seed, Step);
        m_Revision = A->m_Revision;
      }
    }
    cr_assert(State.revision() == m_Revision && State.time() >= m_Time,
              "seed %d step %d", Seed, Step);
    m_Time = State.time();
  }

private:
  std::set<IdempotencyKey> m_Held;
  Revision m_Revision;
  UnixMillis m_Time{0};
};

} // namespace

// Guards against a state machine that breaks compare-and-set, runs a submit id
// twice, grants a claim twice, goes back to an older revision or time, loses
// customers, or does so after a restart from a snapshot.
TABLE_TEST(state_fuzz, agrees_with_the_oracle, Seeds) {
  Random Rng(Row);
  Workload Load(Rng);
  Oracle Model;
  Invariants Rules;
  ReplicatedState State;
  std::set<CommandResultKind> Seen;
  for (int Step = 0; Step < 2000; ++Step) {
    const Envelope Entry = Load.next(State.revision());
    const auto Copy = decode<Envelope>(encode(Entry));
    cr_assert(isOk(Copy));
    const auto Results = State.apply(valueOf(Copy));
    Rules.check(Row, Step, Entry, Results, State);
    const auto Expected = Model.apply(Entry);
    cr_assert_eq(Results.size(), Expected.size());
    for (std::size_t I = 0; I < Results.size(); ++I) {
      Seen.insert(kindOf(Results[I]));
      cr_assert(Results[I] == Expected[I],
                "seed %d step %d: command %zu (kind %zu) gave result kind %zu, "
                "expected %zu",
                Row, Step, I, Entry.m_Commands[I].index(), Results[I].index(),
                Expected[I].index());
    }
    cr_assert(State.document() == Model.m_Docs.back(), "seed %d step %d", Row,
              Step);
    for (const auto &[Name, Settings] : Model.m_LastSettings) {
      const auto Found = State.findCustomer(CustomerId{Name});
      cr_assert(Found && Found->m_Settings == Settings, "seed %d step %d", Row,
                Step);
    }
    if (Rng() % 50 != 0)
      continue;
    const auto Since = Rng() % (State.revision().m_Value + 1);
    if (const auto Deltas = State.deltasSince(Revision{Since})) {
      Document Doc = Model.m_Docs[Since];
      for (const auto &Change : *Deltas)
        applyDelta(Doc, *Change);
      cr_assert(Doc == State.document(), "seed %d step %d", Row, Step);
    }
    const std::string Bytes = State.snapshot();
    ReplicatedState Restored;
    cr_assert(isOk(Restored.restore(Bytes)));
    cr_assert(Restored.snapshot() == Bytes, "seed %d step %d", Row, Step);
    State = std::move(Restored);
  }
  // All results but BadSubmitId, BadManifest, BadVm and BadKey. Without one of
  // them the workload would not test its rule.
  cr_assert_eq(Seen.size(), 17, "seed %d: %zu kinds of result", Row,
               Seen.size());
}

// Guards against a damaged snapshot that stops a voter or replaces its state.
TABLE_TEST(state_fuzz, refuses_damaged_snapshots, Seeds) {
  Random Rng(Row);
  Workload Load(Rng);
  ReplicatedState State;
  for (int Step = 0; Step < 100; ++Step)
    State.apply(Load.next(State.revision()));
  const std::string Bytes = State.snapshot();
  for (int Step = 0; Step < 100; ++Step) {
    const auto Cut = State.restore(Bytes.substr(0, Rng() % Bytes.size()));
    cr_assert(!isOk(Cut) && State.snapshot() == Bytes, "seed %d", Row);
    // A changed byte may be a valid other state, but must not crash.
    std::string Changed = Bytes;
    Changed[Rng() % Bytes.size()] = static_cast<char>(Rng());
    ReplicatedState Other;
    (void)Other.restore(Changed);
  }
}
