#include "ragwortdrift/net/response_bytes.hpp"

#include "ragwortdrift/base/heap_usage.hpp"
#include "ragwortdrift/net/http_client.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Incomplete responses take at most one part in this many of the machine's
/// memory.
constexpr std::size_t MemoryShare = 10;
/// Upper bound on machines with more memory; far above what sound leafs send at
/// once.
constexpr std::size_t MaxLimit = std::size_t{16} * 1024 * 1024;

/// Memory of incomplete responses that the process may keep when they have
/// ended.
constexpr std::size_t KeptBytes = std::size_t{4} * 1024 * 1024;

std::size_t excess(const HttpClientConnection &Connection, std::size_t Bytes) {
  return Bytes - std::min(Bytes, Connection.usualBytes());
}

} // namespace

ResponseBytes::ResponseBytes(boost::asio::execution_context &Context)
    : execution_context_service_base(Context),
      m_Limit(std::min(MaxLimit, machineMemory() / MemoryShare)) {}

void ResponseBytes::update(HttpClientConnection &Connection,
                           std::size_t Bytes) {
  const auto Entry = m_Connections.try_emplace(&Connection, 0).first;
  m_Bytes += Bytes;
  m_Bytes -= std::exchange(Entry->second, Bytes);
  m_PeakBytes = std::max(m_PeakBytes, m_Bytes);
  if (Bytes == 0) {
    m_Connections.erase(Entry);
    // The allocator keeps most of what many small blocks took.
    if (m_Bytes == 0 && std::exchange(m_PeakBytes, 0) > KeptBytes)
      releaseFreeMemory();
    return;
  }
  while (m_Bytes > m_Limit)
    abandonLargest();
}

void ResponseBytes::abandonLargest() {
  const auto Largest =
      std::ranges::max_element(m_Connections, {}, [](const auto &Entry) {
        return std::pair(excess(*Entry.first, Entry.second), Entry.second);
      });
  HttpClientConnection &Connection = *Largest->first;
  ++m_AbandonedCount;
  const auto Now = std::chrono::steady_clock::now().time_since_epoch();
  m_Log.write(TimePoint{std::chrono::duration_cast<Duration>(Now)},
              "response.abandoned",
              {{"remote", Connection.remote()},
               {"bytes", Largest->second},
               {"usual_bytes", Connection.usualBytes()},
               {"all_bytes", m_Bytes},
               {"limit", m_Limit}});
  Connection.abandonResponse();
}

} // namespace ragwortdrift
