#ifndef RAGWORTDRIFT_TOOLS_LOAD_LOAD_PLAN_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_LOAD_PLAN_HPP

#include "ragwortdrift/tools/common/manifest_view.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift::tools {

/// Addresses of an entry VM.
struct EntryVm {
  boost::asio::ip::tcp::endpoint m_Caller;
  /// Address for `GET /ready`; a VM without it always counts as ready.
  std::optional<boost::asio::ip::tcp::endpoint> m_Admin;
};

/// One service in the mix of the load, with its relative weight.
struct MixEntry {
  const ServiceView *m_Service = nullptr;
  double m_Weight = 1;
  /// True if requests are sent as not repeatable, with an idempotency key.
  bool m_Booking = false;
};

/// Settings of one run of the load generator.
struct LoadPlan {
  ManifestView m_Manifest;
  std::vector<EntryVm> m_Entries;
  std::vector<MixEntry> m_Mix;
  std::vector<boost::asio::ip::tcp::endpoint> m_LeafControls;
  /// Queries/s of all threads together.
  double m_Rate = 100;
  double m_Seconds = 10;
  std::uint64_t m_Seed = 1;
  unsigned m_Threads = 1;
  /// Send requests to the leafs directly: a random replica of each group, one
  /// attempt.
  bool m_Plain = false;
  /// One-way delay between a caller and an entry VM.
  double m_CallerDelayMs = 1;
  /// 0 selects the deadline of the service.
  std::uint64_t m_DeadlineMs = 0;
  double m_MinCoverage = 0;
  std::optional<std::uint64_t> m_Snapshot;
  /// Maximum number of retries of a booking without a definite result.
  unsigned m_MaxRetries = 3;
  /// Fraction of booking attempts whose caller closes the connection early.
  double m_AbandonFraction = 0;
  /// Fraction of bookings that are sent to two entry VMs at once.
  double m_DoubleSendFraction = 0;
  std::string m_Priority = "normal";
  std::string m_IdPrefix = "q";
  std::size_t m_BodyBytes = 64;
  double m_ProgressSeconds = 1;
  bool m_ReportHistogram = false;
};

/// Parses "ip:port" or "ip:port@ip:port" (caller address @ admin address).
Result<EntryVm, OptionError> parseEntry(std::string_view Text);

/// Parses "service=weight[:search|booking],...". Without an explicit kind,
/// services of kind `single` get bookings and others get searches. An empty
/// text selects all fan-out services with equal weight.
Result<std::vector<MixEntry>, OptionError>
parseMix(std::string_view Text, const ManifestView &Manifest);

} // namespace ragwortdrift::tools

#endif
