#ifndef RAGWORTDRIFT_DISPATCH_LEAF_PROTOCOL_HPP
#define RAGWORTDRIFT_DISPATCH_LEAF_PROTOCOL_HPP

#include <string>

namespace ragwortdrift {

/// Names of the headers that callers, entry VMs and leafs exchange. They depend
/// on the deployment and are supplied by its adapter.
struct LeafProtocol {
  /// Caller and leaf: id of one caller attempt, echoed by the leaf.
  std::string m_RequestId;
  /// Caller and leaf: milliseconds left until the deadline.
  std::string m_TimeLeft;
  /// To a leaf: id of the intended leaf; any other leaf refuses with 421.
  std::string m_ExpectedLeaf;
  /// From a leaf: signature of the response.
  std::string m_Signature;
  /// From a leaf: the request was refused and not executed.
  std::string m_NotExecuted;
  /// From a leaf: running requests, waiting requests and slots,
  /// comma-separated.
  std::string m_Load;
  /// From a leaf's health response: milliseconds of warm-up left.
  std::string m_RemainingWarmUp;
  /// From a leaf's health response: id of the leaf.
  std::string m_LeafId;
  /// To a caller: signatures of the shard responses that were merged.
  std::string m_PartSignatures;
  /// To a caller: number of shards missing from a merged response.
  std::string m_MissingParts;
  /// From a caller: a key of its account. Never sent to a leaf.
  std::string m_AccountKey;
  /// To a leaf: name of the caller's account. Ignored in requests of callers.
  std::string m_AccountName;
};

} // namespace ragwortdrift

#endif
