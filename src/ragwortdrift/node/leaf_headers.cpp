#include "leaf_headers.hpp"

#include <charconv>

namespace ragwortdrift {

namespace {

std::uint64_t parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::string_view headerOf(const HttpResponse &Response, const char *Name) {
  const auto Value = Response[Name];
  return {Value.data(), Value.size()};
}

std::vector<SnapshotVersion> parseVersions(std::string_view Text) {
  std::vector<SnapshotVersion> Versions;
  while (!Text.empty()) {
    const std::size_t Comma = Text.find(',');
    if (const std::uint64_t Version = parseNumber(Text.substr(0, Comma)))
      Versions.emplace_back(Version);
    Text = Comma == std::string_view::npos ? std::string_view{}
                                           : Text.substr(Comma + 1);
  }
  return Versions;
}

RelayStatus statusOf(const HttpResponse &Response, bool ShuttingDown) {
  const unsigned Status = Response.result_int();
  if (headerOf(Response, "Rd-Not-Run") == "1")
    return ShuttingDown ? RelayStatus::Draining : RelayStatus::Shed;
  if (Status == 409)
    return RelayStatus::VersionNotOffered;
  return Status >= 200 && Status < 300 ? RelayStatus::Answered
                                       : RelayStatus::MaybeExecuted;
}

} // namespace

LeafHeaders readLeafHeaders(const HttpResponse &Response) {
  LeafHeaders Headers;
  Headers.m_Snapshot =
      SnapshotVersion{parseNumber(headerOf(Response, "Rd-Snapshot"))};
  Headers.m_OfferedSnapshots =
      parseVersions(headerOf(Response, "Rd-Snapshots"));
  Headers.m_BootId = headerOf(Response, "Rd-Boot-Id");
  Headers.m_Cold = headerOf(Response, "Rd-Cold") == "1";
  Headers.m_ShuttingDown = headerOf(Response, "Rd-Leaving") == "1";
  Headers.m_Status = statusOf(Response, Headers.m_ShuttingDown);
  return Headers;
}

} // namespace ragwortdrift
