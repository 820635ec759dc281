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

/// Reference model that keeps the full history and searches it for each result.
/// It does not model MaxSubmitIds, which the workload does not reach.
class ReferenceModel {
public:
  std::vector<CommandResult> apply(const CommandBatch &Entry) {
    m_Now = std::max(m_Now, Entry.m_Time);
    const auto Limits = m_Documents.back().find({SectionKind::Limits, ""});
    const int Retention =
        Limits == m_Documents.back().end()
            ? 24
            : std::stoi(Limits->second.at("claim_retention_h"));
    m_MinIssuedAt = std::max(m_MinIssuedAt, UnixMillis(m_Now - Retention * 1h));
    std::vector<CommandResult> Results;
    for (const Command &Item : Entry.m_Commands)
      Results.push_back(
          std::visit([&](const auto &Cmd) { return handle(Cmd); }, Item));
    return Results;
  }

  std::vector<Document> m_Documents{{}};
  std::map<std::string, Section> m_LastSettings;

private:
  struct SubmitRecord {
    std::string m_Content;
    UnixMillis m_Time;
    SubmitResult m_Result;
  };
  struct ClaimRecord {
    ClaimBooking m_Claim;
    UnixMillis m_Time;
    std::optional<BookingOutcome> m_Outcome;
    bool m_Released = false;
  };

  Accepted commit(Document NewDocument) {
    for (const auto &[Key, Values] : NewDocument)
      if (Key.m_Kind == SectionKind::Customer)
        m_LastSettings[Key.m_Name] = Values;
    if (NewDocument != m_Documents.back())
      m_Documents.push_back(std::move(NewDocument));
    return {Revision{m_Documents.size() - 1}};
  }

  template <class CommandT> CommandResult handle(const CommandT &Cmd) {
    for (auto It = m_SubmitRecords.rbegin(); It != m_SubmitRecords.rend();
         ++It) {
      if (It->first != Cmd.m_Id || It->second.m_Time < m_Now - 7 * 24h)
        continue;
      if (It->second.m_Content != encode(Command(Cmd)))
        return Refused{RefusalCode::SubmitIdReused};
      return DuplicateSubmit{It->second.m_Result};
    }
    const SubmitResult First = execute(Cmd);
    m_SubmitRecords.push_back({Cmd.m_Id, {encode(Command(Cmd)), m_Now, First}});
    return std::visit([](auto Result) -> CommandResult { return Result; },
                      First);
  }

  SubmitResult execute(const SubmitManifest &Cmd) {
    if (Cmd.m_Base && Cmd.m_Base->m_Value != m_Documents.size() - 1)
      return Conflict{Revision{m_Documents.size() - 1}};
    Document NewDocument = Cmd.m_Manifest;
    for (auto &[Key, Values] : NewDocument)
      if (Key.m_Kind == SectionKind::Customer && Values.empty())
        Values = m_LastSettings[Key.m_Name];
    for (const auto &[Key, Values] : m_Documents.back())
      if (Key.m_Kind >= SectionKind::Vm)
        NewDocument[Key] = Values;
    return commit(NewDocument);
  }
  SubmitResult execute(const DomainCommand &Cmd) {
    return setOperatorCommand(SectionKind::Domain, SectionKind::DomainCommand,
                              Cmd.m_Domain.m_Value,
                              Cmd.m_Change == DomainChange::Out ? "out" : "",
                              RefusalCode::UnknownDomain);
  }
  SubmitResult execute(const LeafCommand &Cmd) {
    return setOperatorCommand(SectionKind::Leaf, SectionKind::LeafCommand,
                              Cmd.m_Leaf.m_Value,
                              Cmd.m_Change == LeafChange::Drain ? "drain" : "",
                              RefusalCode::UnknownLeaf);
  }
  SubmitResult setOperatorCommand(SectionKind Subject, SectionKind Kind,
                                  const std::string &Name,
                                  const std::string &State,
                                  RefusalCode NotFoundCode) {
    Document NewDocument = m_Documents.back();
    const bool SubjectExists = NewDocument.contains({Subject, Name});
    const bool OrderExists = NewDocument.contains({Kind, Name});
    if (!SubjectExists && !(State.empty() && OrderExists))
      return Refused{NotFoundCode};
    if (State.empty())
      NewDocument.erase({Kind, Name});
    else
      NewDocument[{Kind, Name}] = {{"state", State}};
    return commit(NewDocument);
  }

  CommandResult handle(const RegisterVm &Cmd) {
    Document NewDocument = m_Documents.back();
    NewDocument[{SectionKind::Vm, Cmd.m_Vm.m_Id.m_Value}] = {
        {"domain", Cmd.m_Vm.m_Domain.m_Value},
        {"control", "127.0.0.1:1"},
        {"relay", "127.0.0.1:2"},
        {"admin", "127.0.0.1:3"},
        {"disk", Cmd.m_Vm.m_HasDisk ? "yes" : "no"}};
    return commit(NewDocument);
  }
  CommandResult handle(const RemoveVm &Cmd) {
    Document NewDocument = m_Documents.back();
    NewDocument.erase({SectionKind::Vm, Cmd.m_Vm.m_Value});
    return commit(NewDocument);
  }

  ClaimRecord *find(const IdempotencyKey &Key) {
    for (auto It = m_Claims.rbegin(); It != m_Claims.rend(); ++It)
      if (It->m_Claim.m_Key == Key && !It->m_Released &&
          It->m_Time + 5min >= m_MinIssuedAt)
        return &*It;
    return nullptr;
  }
  CommandResult handle(const ClaimBooking &Cmd) {
    if (const ClaimRecord *Record = find(Cmd.m_Key)) {
      if (Record->m_Claim.m_BodyHash != Cmd.m_BodyHash ||
          Record->m_Claim.m_Service != Cmd.m_Service)
        return ClaimRefused{ClaimRefusalCode::KeyReused};
      if (Record->m_Outcome)
        return ClaimDone{*Record->m_Outcome};
      return ClaimPending{Record->m_Claim.m_Holder,
                          Record->m_Claim.m_Incarnation};
    }
    if (Cmd.m_IssuedAt < m_MinIssuedAt)
      return ClaimRefused{ClaimRefusalCode::KeyExpired};
    if (Cmd.m_IssuedAt > m_Now + 5min)
      return ClaimRefused{ClaimRefusalCode::IssuedInFuture};
    m_Claims.push_back({Cmd, m_Now, std::nullopt});
    return ClaimGranted{};
  }
  template <class CommandT>
  std::optional<ClaimRefusalCode> findRefusal(const CommandT &Cmd) {
    const ClaimRecord *Record = find(Cmd.m_Key);
    if (!Record)
      return ClaimRefusalCode::NoClaim;
    if (Record->m_Claim.m_Holder != Cmd.m_Holder ||
        Record->m_Claim.m_Incarnation != Cmd.m_Incarnation)
      return ClaimRefusalCode::NotHolder;
    return std::nullopt;
  }
  CommandResult handle(const RecordOutcome &Cmd) {
    if (const auto Code = findRefusal(Cmd))
      return ClaimRefused{*Code};
    BookingOutcome Outcome = Cmd.m_Outcome;
    if (Outcome.m_Body && Outcome.m_Body->size() > 4096)
      Outcome.m_Body = std::nullopt;
    ClaimRecord *Record = find(Cmd.m_Key);
    if (Record->m_Outcome && !(*Record->m_Outcome == Outcome))
      return ClaimRefused{ClaimRefusalCode::HasOutcome};
    Record->m_Outcome = Outcome;
    return OutcomeRecorded{};
  }
  CommandResult handle(const ReleaseClaim &Cmd) {
    if (const auto Code = findRefusal(Cmd))
      return ClaimRefused{*Code};
    ClaimRecord *Record = find(Cmd.m_Key);
    if (Record->m_Outcome)
      return ClaimRefused{ClaimRefusalCode::HasOutcome};
    Record->m_Released = true;
    return ClaimReleased{};
  }

  UnixMillis m_Now{0};
  UnixMillis m_MinIssuedAt{0};
  std::vector<std::pair<SubmitId, SubmitRecord>> m_SubmitRecords;
  std::vector<ClaimRecord> m_Claims;
};

/// Generates random commands of callers, operators and VMs, including retried,
/// competing and late ones.
class Workload {
public:
  explicit Workload(Random &Rng) : m_Rng(Rng) {}

  CommandBatch next(Revision Current) {
    const auto Kind = m_Rng() % 20;
    if (Kind == 0)
      m_Clock += std::chrono::minutes(m_Rng() % 2000);
    else if (Kind > 2)
      m_Clock += std::chrono::seconds(m_Rng() % 120);
    // The clock of a new leader may be behind.
    const UnixMillis Time =
        Kind == 1 ? UnixMillis(m_Clock - std::chrono::minutes(m_Rng() % 200))
                  : m_Clock;
    CommandBatch Entry{Time, {}};
    for (auto Count = 1 + m_Rng() % 4; Count > 0; --Count)
      Entry.m_Commands.push_back(command(Current));
    return Entry;
  }

private:
  SubmitId submitId() {
    return SubmitId{numberedName("op", m_NextSubmit += m_Rng() % 3 != 0)};
  }

  Command command(Revision Current) {
    // An operator who received no response sends the same command again.
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
      return recordSubmit(
          SubmitManifest{submitId(), Base, randomManifest(m_Rng)});
    }
    case 1:
      return recordSubmit(DomainCommand{
          submitId(), FailureDomain{numberedName("d", m_Rng() % 4)},
          DomainChange(m_Rng() % 2)});
    case 2:
      return recordSubmit(LeafCommand{submitId(),
                                      LeafId{numberedName("l", m_Rng() % 13)},
                                      LeafChange(m_Rng() % 2)});
    case 3: {
      const auto Port = [](std::uint16_t P) {
        return Endpoint{"127.0.0.1", P};
      };
      return RegisterVm{{VmId{numberedName("v", m_Rng() % 3)},
                         FailureDomain{numberedName("d", m_Rng() % 2)}, Port(1),
                         Port(2), Port(3), m_Rng() % 2 == 0}};
    }
    case 4:
      return RemoveVm{VmId{numberedName("v", m_Rng() % 3)}};
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

  Command recordSubmit(Command Cmd) {
    m_Submitted.push_back(Cmd);
    return Cmd;
  }
  VmId holder() { return VmId{numberedName("v", m_Rng() % 2)}; }
  IdempotencyKey key() {
    return IdempotencyKey{
        numberedName("k", m_NextKey - std::min(m_NextKey, m_Rng() % 6))};
  }
  Command claim() {
    if (m_Rng() % 3 == 0)
      ++m_NextKey;
    auto Key =
        m_Rng() % 8
            ? key()
            : IdempotencyKey{numberedName("k", m_Rng() % (m_NextKey + 1))};
    // A caller reuses the issue time of a key in its retries.
    const auto IssuedAt =
        m_IssueTimes
            .try_emplace(Key,
                         m_Rng() % 4
                             ? m_Clock - std::chrono::minutes(m_Rng() % 60)
                             : m_Clock + std::chrono::seconds(m_Rng() % 400))
            .first->second;
    return ClaimBooking{std::move(Key),           m_Rng() % 10 ? 7u : 8u,
                        ServiceName{"s"},         holder(),
                        Incarnation{m_Rng() % 2}, IssuedAt};
  }

  Random &m_Rng;
  UnixMillis m_Clock{1000h};
  std::uint64_t m_NextSubmit = 0;
  std::uint64_t m_NextKey = 0;
  std::vector<Command> m_Submitted;
  std::map<IdempotencyKey, UnixMillis> m_IssueTimes;
};

/// The variant index of a result, and the code of a refusal.
using CommandResultKind = std::pair<std::size_t, int>;
CommandResultKind kindOf(const CommandResult &Result) {
  int Code = 0;
  if (const auto *Refusal = std::get_if<Refused>(&Result))
    Code = static_cast<int>(Refusal->m_Code);
  if (const auto *Refusal = std::get_if<ClaimRefused>(&Result))
    Code = static_cast<int>(Refusal->m_Code);
  return {Result.index(), Code};
}

/// Checks rules of sections 5.3 and 5.4 of the design independently of the
/// reference model.
class Invariants {
public:
  void check(int Seed, int Step, const CommandBatch &Entry,
             const std::vector<CommandResult> &Results,
             const ReplicatedState &State) {
    for (std::size_t I = 0; I < Results.size(); ++I) {
      if (std::holds_alternative<ClaimGranted>(Results[I])) {
        const auto &Claim = std::get<ClaimBooking>(Entry.m_Commands[I]);
        cr_assert(m_GrantedKeys.insert(Claim.m_Key).second,
                  "seed %d step %d: claim %s granted twice", Seed, Step,
                  Claim.m_Key.m_Value.c_str());
      } else if (std::holds_alternative<ClaimReleased>(Results[I])) {
        m_GrantedKeys.erase(std::get<ReleaseClaim>(Entry.m_Commands[I]).m_Key);
      }
      if (const auto *Accept = std::get_if<Accepted>(&Results[I])) {
        cr_assert(Accept->m_Revision >= m_Revision,
                  "seed %d step %d: the revision decreased", Seed, Step);
        if (const auto *Submit =
                std::get_if<SubmitManifest>(&Entry.m_Commands[I]);
            Submit && Submit->m_Base)
          cr_assert(*Submit->m_Base == m_Revision,
                    "seed %d step %d: accepted with an outdated base revision",
                    Seed, Step);
        m_Revision = Accept->m_Revision;
      }
    }
    cr_assert(State.revision() == m_Revision && State.time() >= m_Time,
              "seed %d step %d", Seed, Step);
    m_Time = State.time();
  }

private:
  std::set<IdempotencyKey> m_GrantedKeys;
  Revision m_Revision;
  UnixMillis m_Time{0};
};

} // namespace

// Guards against a state machine that breaks compare-and-set, executes a submit
// id twice, grants a claim twice, returns to an older revision or time, or
// loses customers, including after a restore from a snapshot.
TABLE_TEST(replicated_state_fuzz, matches_reference_model, Seeds) {
  Random Rng(Row);
  Workload Commands(Rng);
  ReferenceModel Model;
  Invariants Checks;
  ReplicatedState State;
  std::set<CommandResultKind> SeenKinds;
  for (int Step = 0; Step < 2000; ++Step) {
    const CommandBatch Entry = Commands.next(State.revision());
    const auto Decoded = decode<CommandBatch>(encode(Entry));
    cr_assert(isOk(Decoded));
    const auto Results = State.apply(valueOf(Decoded));
    Checks.check(Row, Step, Entry, Results, State);
    const auto Expected = Model.apply(Entry);
    cr_assert_eq(Results.size(), Expected.size());
    for (std::size_t I = 0; I < Results.size(); ++I) {
      SeenKinds.insert(kindOf(Results[I]));
      cr_assert(Results[I] == Expected[I],
                "seed %d step %d: command %zu (kind %zu) gave result kind %zu, "
                "expected %zu",
                Row, Step, I, Entry.m_Commands[I].index(), Results[I].index(),
                Expected[I].index());
    }
    cr_assert(State.document() == Model.m_Documents.back(), "seed %d step %d",
              Row, Step);
    for (const auto &[Name, Settings] : Model.m_LastSettings) {
      const auto Customer = State.findCustomer(CustomerId{Name});
      cr_assert(Customer && Customer->m_Settings == Settings, "seed %d step %d",
                Row, Step);
    }
    if (Rng() % 50 != 0)
      continue;
    const auto Since = Rng() % (State.revision().m_Value + 1);
    if (const auto Deltas = State.deltasSince(Revision{Since})) {
      Document Doc = Model.m_Documents[Since];
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
  // All results except BadSubmitId, BadManifest, BadVm and BadKey. If one were
  // missing, the workload would not test its rule.
  cr_assert_eq(SeenKinds.size(), 17, "seed %d: %zu kinds of result", Row,
               SeenKinds.size());
}

// Guards against a corrupt snapshot that crashes a voter or replaces its state.
TABLE_TEST(replicated_state_fuzz, rejects_corrupt_snapshots, Seeds) {
  Random Rng(Row);
  Workload Commands(Rng);
  ReplicatedState State;
  for (int Step = 0; Step < 100; ++Step)
    State.apply(Commands.next(State.revision()));
  const std::string Bytes = State.snapshot();
  for (int Step = 0; Step < 100; ++Step) {
    const auto Result = State.restore(Bytes.substr(0, Rng() % Bytes.size()));
    cr_assert(!isOk(Result) && State.snapshot() == Bytes, "seed %d", Row);
    // With a changed byte, the snapshot may be another valid state, but
    // restoring it must not crash.
    std::string Corrupt = Bytes;
    Corrupt[Rng() % Bytes.size()] = static_cast<char>(Rng());
    ReplicatedState NewState;
    (void)NewState.restore(Corrupt);
  }
}
