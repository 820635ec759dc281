#ifndef RAGWORTDRIFT_NODE_ADMIN_API_HPP
#define RAGWORTDRIFT_NODE_ADMIN_API_HPP

#include "ragwortdrift/node/admin_messages.hpp"

#include <functional>
#include <utility>

namespace ragwortdrift {

/// Receives the outcome of a control call; called once, on the control thread.
template <class T>
using ControlCallback = std::function<void(Result<T, ControlError>)>;

/// Operations of the control thread that AdminApi calls. No call blocks. Each
/// reports its outcome through a callback, possibly before it returns.
///
///   submit       commits a command through the leader
///   changeVoter  adds or removes one voter
///   status       the deployment as seen by this VM
///   manifest     the manifest in force, as formatManifest prints it
///   customer     a customer's settings, even after the customer was removed
///   takeSnapshot writes a snapshot of the replicated state
///   readiness    readiness to accept callers' requests
///   metrics      the metrics as text
template <class C>
concept AdminControl = requires(
    C &Control, Command NewCommand, VoterChange Change, CustomerId Name,
    ControlCallback<CommandResult> OnResult, ControlCallback<Done> OnDone,
    ControlCallback<ControlStatus> OnStatus,
    ControlCallback<ManifestText> OnManifest,
    ControlCallback<std::optional<CustomerRecord>> OnCustomer,
    ControlCallback<SnapshotReport> OnSnapshot,
    std::function<void(Readiness)> OnReadiness,
    std::function<void(std::string)> OnMetrics) {
  Control.submit(std::move(NewCommand), OnResult);
  Control.changeVoter(Change, OnDone);
  Control.status(OnStatus);
  Control.manifest(OnManifest);
  Control.customer(Name, OnCustomer);
  Control.takeSnapshot(OnSnapshot);
  Control.readiness(OnReadiness);
  Control.metrics(OnMetrics);
};

/// Maps HTTP requests on the admin port to calls of Control, which must outlive
/// this object.
template <class Control>
requires AdminControl<Control>
class AdminApi {
public:
  using Respond = std::function<void(AdminHttpResponse)>;

  explicit AdminApi(Control &Target) : m_Control(Target) {}

  /// Answers one request. The response has the request's HTTP version and
  /// keep-alive setting.
  void handle(const AdminHttpRequest &Request, Respond Answer) {
    auto Send = [Answer = std::move(Answer), Version = Request.version(),
                 KeepAlive = Request.keep_alive()](AdminHttpResponse Response) {
      Response.version(Version);
      Response.keep_alive(KeepAlive);
      Response.prepare_payload();
      Answer(std::move(Response));
    };
    auto ParseResult = parseAdminRequest(Request);
    if (!isOk(ParseResult)) {
      Send(toResponse(errorOf(ParseResult)));
      return;
    }
    std::visit(
        [&](auto &Content) { call(std::move(Content), std::move(Send)); },
        valueOf(ParseResult));
  }

private:
  template <class Send> void call(SubmitRequest Request, Send Answer) {
    m_Control.submit(std::move(Request.m_Command),
                     [Id = std::move(Request.m_Id), Answer = std::move(Answer)](
                         const Result<CommandResult, ControlError> &Outcome) {
                       Answer(toResponse(Id, Outcome));
                     });
  }
  template <class Send> void call(VoterChange Request, Send Answer) {
    m_Control.changeVoter(Request,
                          [Request, Answer = std::move(Answer)](
                              const Result<Done, ControlError> &Outcome) {
                            Answer(toResponse(Request, Outcome));
                          });
  }
  template <class Send> void call(StatusRequest, Send Answer) {
    m_Control.status(makeCallback<Result<ControlStatus, ControlError>>(Answer));
  }
  template <class Send> void call(ManifestRequest, Send Answer) {
    m_Control.manifest(
        makeCallback<Result<ManifestText, ControlError>>(Answer));
  }
  template <class Send> void call(CustomerRequest Request, Send Answer) {
    m_Control.customer(
        Request.m_Name,
        [Name = Request.m_Name, Answer = std::move(Answer)](
            const Result<std::optional<CustomerRecord>, ControlError>
                &Outcome) { Answer(toResponse(Name, Outcome)); });
  }
  template <class Send> void call(SnapshotRequest, Send Answer) {
    m_Control.takeSnapshot(
        makeCallback<Result<SnapshotReport, ControlError>>(Answer));
  }
  template <class Send> void call(ReadyRequest, Send Answer) {
    m_Control.readiness(makeCallback<Readiness>(Answer));
  }
  template <class Send> void call(MetricsRequest, Send Answer) {
    m_Control.metrics([Answer = std::move(Answer)](std::string Text) {
      Answer(metricsResponse(std::move(Text)));
    });
  }
  template <class T, class Send> static auto makeCallback(Send &Answer) {
    return [Answer = std::move(Answer)](const T &Outcome) {
      Answer(toResponse(Outcome));
    };
  }

  Control &m_Control;
};

} // namespace ragwortdrift

#endif
