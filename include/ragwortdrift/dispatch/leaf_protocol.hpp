#ifndef RAGWORTDRIFT_DISPATCH_LEAF_PROTOCOL_HPP
#define RAGWORTDRIFT_DISPATCH_LEAF_PROTOCOL_HPP

#include <string>

namespace ragwortdrift {

/// Names of the headers that callers, entry VMs and leafs exchange. They belong
/// to the deployment, so an adapter gives them.
struct LeafProtocol {
  /// Caller and leaf: id of one attempt of a caller; a leaf repeats it.
  std::string m_RequestId;
  /// Caller and leaf: milliseconds that are left.
  std::string m_TimeLeft;
  /// To a leaf: the id of the leaf that is meant; any other refuses with 421.
  std::string m_ExpectedLeaf;
  /// From a leaf: its signature of an answer.
  std::string m_Signature;
  /// From a leaf: the request was refused before it ran.
  std::string m_NotRun;
  /// From a leaf: requests running, waiting and slots, separated by commas.
  std::string m_Load;
  /// From a leaf's health answer: milliseconds that it stays cold.
  std::string m_ColdFor;
  /// From a leaf's health answer: its id.
  std::string m_LeafId;
  /// To a caller: signatures of the parts of a merged answer.
  std::string m_PartSignatures;
  /// To a caller: number of shards left out of a merged answer.
  std::string m_MissingParts;
};

} // namespace ragwortdrift

#endif
