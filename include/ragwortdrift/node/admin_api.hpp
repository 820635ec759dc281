#ifndef RAGWORTDRIFT_NODE_ADMIN_API_HPP
#define RAGWORTDRIFT_NODE_ADMIN_API_HPP

#include "ragwortdrift/node/admin_messages.hpp"

#include <functional>
#include <utility>

namespace ragwortdrift {

/// Receives the outcome of a control call, once, on the control thread.
template <class T>
using ControlCallback = std::function<void(Result<T, ControlError>)>;

/// What a daemon's control gives to the operators' interface. Each call returns
/// at once and completes through its callback, which may run within the call.
///
///   submit       commits a command through the leader
///   changeVoter  adds or removes one voter
///   status       what this VM knows
///   manifest     the manifest in force, as formatManifest prints it
///   customer     a customer's settings, also after its removal
///   takeSnapshot writes a snapshot of the replicated state now
///   readiness    whether callers' requests are accepted
///   metrics      the metrics as text
template <class C>
concept AdminControl = requires(
    C &Control, Command Each, VoterChange Change, CustomerId Name,
    ControlCallback<CommandResult> OnResult, ControlCallback<Done> OnDone,
    ControlCallback<ControlStatus> OnStatus,
    ControlCallback<ManifestText> OnManifest,
    ControlCallback<std::optional<CustomerRecord>> OnCustomer,
    ControlCallback<SnapshotReport> OnSnapshot,
    std::function<void(Readiness)> OnReadiness,
    std::function<void(std::string)> OnMetrics) {
  Control.submit(std::move(Each), OnResult);
  Control.changeVoter(Change, OnDone);
  Control.status(OnStatus);
  Control.manifest(OnManifest);
  Control.customer(Name, OnCustomer);
  Control.takeSnapshot(OnSnapshot);
  Control.readiness(OnReadiness);
  Control.metrics(OnMetrics);
};

/// Maps HTTP requests on the admin port to calls of the daemon's control. The
/// control must outlive it.
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
    auto Parsed = parseAdminRequest(Request);
    if (!isOk(Parsed)) {
      Send(toResponse(errorOf(Parsed)));
      return;
    }
    std::visit([&](auto &Asked) { call(std::move(Asked), std::move(Send)); },
               valueOf(Parsed));
  }

private:
  template <class Send> void call(SubmitRequest Asked, Send Answer) {
    m_Control.submit(std::move(Asked.m_Command),
                     [Id = std::move(Asked.m_Id), Answer = std::move(Answer)](
                         const Result<CommandResult, ControlError> &Found) {
                       Answer(toResponse(Id, Found));
                     });
  }
  template <class Send> void call(VoterChange Asked, Send Answer) {
    m_Control.changeVoter(Asked, [Asked, Answer = std::move(Answer)](
                                     const Result<Done, ControlError> &Found) {
      Answer(toResponse(Asked, Found));
    });
  }
  template <class Send> void call(StatusRequest, Send Answer) {
    m_Control.status(forward<Result<ControlStatus, ControlError>>(Answer));
  }
  template <class Send> void call(ManifestRequest, Send Answer) {
    m_Control.manifest(forward<Result<ManifestText, ControlError>>(Answer));
  }
  template <class Send> void call(CustomerRequest Asked, Send Answer) {
    m_Control.customer(
        Asked.m_Name,
        [Name = Asked.m_Name, Answer = std::move(Answer)](
            const Result<std::optional<CustomerRecord>, ControlError> &Found) {
          Answer(toResponse(Name, Found));
        });
  }
  template <class Send> void call(SnapshotRequest, Send Answer) {
    m_Control.takeSnapshot(
        forward<Result<SnapshotReport, ControlError>>(Answer));
  }
  template <class Send> void call(ReadyRequest, Send Answer) {
    m_Control.readiness(forward<Readiness>(Answer));
  }
  template <class Send> void call(MetricsRequest, Send Answer) {
    m_Control.metrics([Answer = std::move(Answer)](std::string Text) {
      Answer(metricsResponse(std::move(Text)));
    });
  }
  template <class T, class Send> static auto forward(Send &Answer) {
    return [Answer = std::move(Answer)](const T &Found) {
      Answer(toResponse(Found));
    };
  }

  Control &m_Control;
};

} // namespace ragwortdrift

#endif
