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

/// One attempt of a caller's request.
struct Attempt {
  const MixEntry *m_Mix = nullptr;
  std::string m_RequestId;
  /// Empty for a search.
  std::string m_Key;
  std::string m_Body;
  UnixMillis m_IssuedAt{0};
  std::uint64_t m_DeadlineMs = 240;
};

/// An answer in the form of section 4 of the design.
struct CallerAnswer {
  unsigned m_Status = 0;
  std::string m_Body;
};

using CallerOutcome = Result<CallerAnswer, TransportError>;

/// Where callers send their requests: entry VMs, or the leafs themselves. Not
/// thread-safe; each thread has one.
class Backend {
public:
  using Callback = std::function<void(CallerOutcome)>;

  virtual ~Backend() = default;
  /// Fn is called once, at the latest after Timeout.
  virtual void send(const Attempt &Request, Duration Timeout, Callback Fn) = 0;
  virtual void stop() {}
};

/// A balancer over entry VMs: round robin over those that are ready.
class EntryBackend : public Backend {
public:
  EntryBackend(boost::asio::io_context &Io, const LoadPlan &Plan);
  void send(const Attempt &Request, Duration Timeout, Callback Fn) override;
  void stop() override;

private:
  struct Target {
    std::unique_ptr<HttpPool> m_Callers;
    std::unique_ptr<HttpPool> m_Admin;
    bool m_Ready = true;
  };
  Target &choose();
  void poll();

  const LoadPlan &m_Plan;
  std::vector<Target> m_Targets;
  std::size_t m_Next = 0;
  boost::asio::steady_timer m_PollTimer;
  bool m_Stopped = false;
};

/// The baseline of the experiments: a random replica of each group, one try, a
/// fixed timeout, no limits and no hedging.
class PlainBackend : public Backend {
public:
  PlainBackend(boost::asio::io_context &Io, const LoadPlan &Plan,
               std::uint64_t Seed);
  void send(const Attempt &Request, Duration Timeout, Callback Fn) override;

private:
  HttpPool &poolOf(const LeafView &Leaf);

  boost::asio::io_context &m_Io;
  const LoadPlan &m_Plan;
  std::mt19937_64 m_Random;
  std::map<boost::asio::ip::tcp::endpoint, std::unique_ptr<HttpPool>> m_Pools;
};

/// A leaf's answer to one group of a plain search.
struct PlainPart {
  std::string m_Group;
  std::string m_Leaf;
  std::uint64_t m_Snapshot = 0;
  std::string m_Body;
};

/// The answer that a plain client makes of the parts it received.
CallerAnswer joinParts(const ServiceView &Service,
                       const std::vector<PlainPart> &Parts);

} // namespace ragwortdrift::tools

#endif
