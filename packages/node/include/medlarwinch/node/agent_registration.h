#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "medlarwinch/coordination/packet_path/upstream_directory.h"
#include "medlarwinch/coordination/shared/random.h"
#include "medlarwinch/node/store_connection.h"

namespace medlarwinch {

/// Kind of the metadata store objects through which balancers discover agents.
inline constexpr const char* kAgentEntryKind = "medlarwinch-agents";

/// An agent that no balancer has polled for this long verifies its entry.
/// Longer than a restart of all balancers takes, and much shorter than
/// kAgentLossTimeout, after which balancers delete the entry.
inline constexpr Millis kUnpolledCheckDelay{10'000};

/// Returns the object name for the agent at address `agent`. There is one
/// object per address, so that an agent at a reused address replaces the entry
/// of the previous agent.
std::string AgentEntryName(const Endpoint& agent);
/// Inverse of AgentEntryName(). Fails with kInvalidInput for any other form of
/// an address, since that is the name of another object.
Result<Endpoint> ParseAgentEntryName(const std::string& name);
std::string EncodeAgentEntry(const DirectoryEntry& entry,
                             const std::string& service);
/// Fails with kInvalidInput when the content is not a valid entry or its relay
/// address does not match the object name.
Result<DirectoryEntry> DecodeAgentEntry(const StoredObject& object);

/// Maintains one agent's entry in the metadata store: creates it, updates it,
/// and removes it when the upstream has left or is lost. Every write is
/// conditional, so that a delayed write can't overwrite a newer one.
class AgentRegistration {
 public:
  AgentRegistration(boost::asio::io_context& loop,
                    std::unique_ptr<StoreConnection> store, std::string name,
                    std::string content, uint64_t seed);

  /// Creates or updates the entry. During a write, the request takes effect
  /// when that write ends.
  void Publish();

  /// Removes the entry; Publish() creates it again.
  void Withdraw();

  /// As Withdraw(), also for an entry that an earlier process of the agent has
  /// written.
  void WithdrawEarlierEntry();

  /// Records a poll by `balancer`. Rewrites the entry when the balancer does
  /// not find it in the store, and removes it again when the balancer still
  /// finds it some time after this process has removed it: a restored store may
  /// have lost the last writes.
  void RecordPoll(const Endpoint& balancer, bool is_listed, TimePoint now);

  /// Verifies the entry when no balancer polls. It may have been removed while
  /// this agent was partitioned from the network, and balancers poll only
  /// agents that they found in the store. Called at every tick.
  void RepublishIfUnpolled(TimePoint now);

  /// True once the store reflects the last call of Publish() or Withdraw().
  bool is_in_sync() const { return is_in_sync_; }
  /// True from the removal of the entry by this process until the store has
  /// acknowledged a new one.
  bool is_removed() const { return is_removed_; }
  /// True while the entry is in the store according to the last response.
  bool is_published() const { return is_in_sync_ && should_publish_; }

 private:
  void StartWrite();
  void Create();
  void ReplaceIfDifferent();
  void Remove();
  bool IsOwnEntry(const StoredObject& found) const;
  void RepublishMissingEntry(const Endpoint& balancer, TimePoint now);
  void RemoveReappearedEntry(const Endpoint& balancer, TimePoint now);
  void CompleteWrite(const StoreRevision& revision);
  void Retry(const Error& error);

  std::unique_ptr<StoreConnection> store_;
  boost::asio::steady_timer timer_;
  std::string name_;
  std::string content_;
  Random random_;
  bool should_publish_ = false;
  /// Value of `should_publish_` when the write in progress started.
  bool write_publishes_ = false;
  bool is_in_sync_ = false;
  bool is_write_in_progress_ = false;
  uint32_t failures_ = 0;
  /// Time of the last poll by a balancer, and of the last rewrite that a
  /// missing entry or missing polls caused.
  TimePoint last_poll_at_;
  TimePoint last_check_at_;
  /// True once this process has removed its entry, until it publishes again.
  bool is_removed_ = false;
  /// Time of the first poll after the removal that still found the entry.
  TimePoint reappeared_at_;
  /// Last known revision of the entry; its number is 0 when unknown.
  StoreRevision revision_;
  /// True if an entry may exist although its revision is unknown.
  bool has_reappeared_ = false;
};

}  // namespace medlarwinch
