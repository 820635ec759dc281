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
  using ResponseCallback = std::function<void(AdminHttpResponse)>;

  explicit AdminApi(Control &Target) : m_Control(Target) {}

  /// Answers one request. The response has the request's HTTP version and
  /// keep-alive setting.
  void handle(const AdminHttpRequest &Request, ResponseCallback OnResponse) {
    auto SendResponse =
        [OnResponse = std::move(OnResponse), Version = Request.version(),
         KeepAlive = Request.keep_alive()](AdminHttpResponse Response) {
          Response.version(Version);
          Response.keep_alive(KeepAlive);
          Response.prepare_payload();
          OnResponse(std::move(Response));
        };
    auto ParseResult = parseAdminRequest(Request);
    if (!isOk(ParseResult)) {
      SendResponse(toResponse(errorOf(ParseResult)));
      return;
    }
    std::visit(
        [&](auto &Content) {
          call(std::move(Content), std::move(SendResponse));
        },
        valueOf(ParseResult));
  }

private:
  template <class Callback>
  void call(SubmitRequest Request, Callback OnResponse) {
    m_Control.submit(
        std::move(Request.m_Command),
        [Id = std::move(Request.m_Id), OnResponse = std::move(OnResponse)](
            const Result<CommandResult, ControlError> &Outcome) {
          OnResponse(toResponse(Id, Outcome));
        });
  }
  template <class Callback>
  void call(VoterChange Request, Callback OnResponse) {
    m_Control.changeVoter(Request,
                          [Request, OnResponse = std::move(OnResponse)](
                              const Result<Done, ControlError> &Outcome) {
                            OnResponse(toResponse(Request, Outcome));
                          });
  }
  template <class Callback> void call(StatusRequest, Callback OnResponse) {
    m_Control.status(
        makeCallback<Result<ControlStatus, ControlError>>(OnResponse));
  }
  template <class Callback> void call(ManifestRequest, Callback OnResponse) {
    m_Control.manifest(
        makeCallback<Result<ManifestText, ControlError>>(OnResponse));
  }
  template <class Callback>
  void call(CustomerRequest Request, Callback OnResponse) {
    m_Control.customer(
        Request.m_Name,
        [Name = Request.m_Name, OnResponse = std::move(OnResponse)](
            const Result<std::optional<CustomerRecord>, ControlError>
                &Outcome) { OnResponse(toResponse(Name, Outcome)); });
  }
  template <class Callback> void call(SnapshotRequest, Callback OnResponse) {
    m_Control.takeSnapshot(
        makeCallback<Result<SnapshotReport, ControlError>>(OnResponse));
  }
  template <class Callback> void call(ReadyRequest, Callback OnResponse) {
    m_Control.readiness(makeCallback<Readiness>(OnResponse));
  }
  template <class Callback> void call(MetricsRequest, Callback OnResponse) {
    m_Control.metrics([OnResponse = std::move(OnResponse)](std::string Text) {
      OnResponse(metricsResponse(std::move(Text)));
    });
  }
  template <class T, class Callback>
  static auto makeCallback(Callback &OnResponse) {
    return [OnResponse = std::move(OnResponse)](const T &Outcome) {
      OnResponse(toResponse(Outcome));
    };
  }

  Control &m_Control;
};

} // namespace ragwortdrift

#endif
