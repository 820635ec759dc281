#ifndef RAGWORTDRIFT_TOOLS_LOAD_LOAD_PLAN_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_LOAD_PLAN_HPP

#include "ragwortdrift/tools/common/manifest_view.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift::tools {

/// An entry VM, as the balancer knows it.
struct EntryVm {
  boost::asio::ip::tcp::endpoint m_Caller;
  /// Where `GET /ready` is asked; without it the VM always counts as ready.
  std::optional<boost::asio::ip::tcp::endpoint> m_Admin;
};

/// A share of the load.
struct MixEntry {
  const ServiceView *m_Service = nullptr;
  double m_Weight = 1;
  /// Sent as not repeatable, with an idempotency key.
  bool m_Booking = false;
};

/// All that a run of the load tool needs to know.
struct LoadPlan {
  ManifestView m_Manifest;
  std::vector<EntryVm> m_Entries;
  std::vector<MixEntry> m_Mix;
  std::vector<boost::asio::ip::tcp::endpoint> m_LeafControls;
  /// Queries a second over all threads.
  double m_Rate = 100;
  double m_Seconds = 10;
  std::uint64_t m_Seed = 1;
  unsigned m_Threads = 1;
  /// Ask the leafs directly: a random replica of each group, one try.
  bool m_Plain = false;
  /// One way between the caller and the entry VM.
  double m_CallerDelayMs = 1;
  /// 0 takes the deadline of the service.
  std::uint64_t m_DeadlineMs = 0;
  double m_MinCoverage = 0;
  std::optional<std::uint64_t> m_Snapshot;
  /// Further attempts of a booking after a lost or unclear answer.
  unsigned m_Resends = 3;
  /// Share of booking attempts whose caller closes the connection early.
  double m_AbandonFraction = 0;
  /// Share of bookings that are sent to two entry VMs at once.
  double m_DoubleSendFraction = 0;
  std::string m_Priority = "normal";
  std::string m_IdPrefix = "q";
  std::size_t m_BodyBytes = 64;
  double m_ProgressSeconds = 1;
  bool m_ReportHistogram = false;
};

/// Parses "ip:port" or "ip:port@ip:port" (caller address @ admin address).
Result<EntryVm, OptionError> parseEntry(std::string_view Text);

/// Parses "service=weight[:search|booking],...". Without a kind, a service of
/// kind `single` gets bookings. An empty text takes all fan-out services.
Result<std::vector<MixEntry>, OptionError>
parseMix(std::string_view Text, const ManifestView &Manifest);

} // namespace ragwortdrift::tools

#endif
