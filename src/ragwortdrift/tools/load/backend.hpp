#ifndef RAGWORTDRIFT_TOOLS_LOAD_BACKEND_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_BACKEND_HPP

#include "ragwortdrift/tools/load/http_pool.hpp"
#include "ragwortdrift/tools/load/load_plan.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace ragwortdrift::tools {

/// One attempt at sending a caller's request.
struct Attempt {
  const MixEntry *m_Mix = nullptr;
  std::string m_RequestId;
  /// Idempotency key; empty for a search.
  std::string m_Key;
  std::string m_Body;
  UnixMillis m_IssuedAt{0};
  std::uint64_t m_DeadlineMs = 240;
};

/// Response in the format of section 4 of the design.
struct CallerResponse {
  unsigned m_Status = 0;
  std::string m_Body;
};

using CallerOutcome = Result<CallerResponse, TransportError>;

/// Destination of the callers' requests: the entry VMs, or the leafs directly.
/// Not thread-safe; each thread has its own.
class Backend {
public:
  using Callback = std::function<void(CallerOutcome)>;

  virtual ~Backend() = default;
  /// Sends a request. Handler is called exactly once, after Timeout at the
  /// latest.
  virtual void send(const Attempt &Request, Duration Timeout,
                    Callback Handler) = 0;
  virtual void stop() {}
};

/// Load balancer that distributes requests round robin over the entry VMs that
/// are ready.
class EntryBackend : public Backend {
public:
  EntryBackend(boost::asio::io_context &Io, const LoadPlan &Plan);
  void send(const Attempt &Request, Duration Timeout,
            Callback Handler) override;
  void stop() override;

private:
  struct Target {
    std::unique_ptr<HttpPool> m_RequestPool;
    std::unique_ptr<HttpPool> m_Admin;
    bool m_Ready = true;
  };
  Target &selectTarget();
  void pollReadiness();

  const LoadPlan &m_Plan;
  std::vector<Target> m_Targets;
  std::size_t m_NextTarget = 0;
  boost::asio::steady_timer m_PollTimer;
  bool m_Stopped = false;
};

/// Baseline of the experiments: a random replica of each group, one attempt, a
/// fixed time-out, no limits and no hedging.
class PlainBackend : public Backend {
public:
  PlainBackend(boost::asio::io_context &Io, const LoadPlan &Plan,
               std::uint64_t Seed);
  void send(const Attempt &Request, Duration Timeout,
            Callback Handler) override;

private:
  HttpPool &poolFor(const LeafView &Leaf);

  boost::asio::io_context &m_Io;
  const LoadPlan &m_Plan;
  std::mt19937_64 m_Random;
  std::map<boost::asio::ip::tcp::endpoint, std::unique_ptr<HttpPool>> m_Pools;
};

/// Response of one leaf to a search of the baseline.
struct PlainResponsePart {
  std::string m_Group;
  std::string m_Leaf;
  std::uint64_t m_Snapshot = 0;
  std::string m_Body;
};

/// Merges the responses of the leafs into the response that a caller of the
/// baseline receives.
CallerResponse mergeParts(const ServiceView &Service,
                          const std::vector<PlainResponsePart> &Parts);

} // namespace ragwortdrift::tools

#endif
