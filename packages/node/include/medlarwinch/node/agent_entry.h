#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "medlarwinch/coordination/random.h"
#include "medlarwinch/coordination/upstream_directory.h"
#include "medlarwinch/node/store_connection.h"

namespace medlarwinch {

/// Kind of the objects by which agents are found.
inline constexpr const char* kAgentKind = "medlarwinch-agents";

/// An agent that no balancer polls for this long checks its entry: longer than
/// a restart of all balancers takes, and much shorter than kAgentLossTimeout.
inline constexpr Millis kUnpolledCheck{10'000};

/// The object of the agent at `agent`: one for each address, so that an agent
/// at a reused address replaces the entry of its predecessor.
std::string AgentEntryName(const Endpoint& agent);
/// The address that such a name stands for.
Result<Endpoint> AgentOfEntryName(std::string name);
std::string EncodeAgentEntry(const DirectoryEntry& entry,
                             const std::string& service);
/// Fails with kInvalidInput when the content is not an entry or does not belong
/// to the object's name.
Result<DirectoryEntry> DecodeAgentEntry(const StoredObject& object);

/// Keeps the entry of one agent in the store: creates it, corrects it, and
/// removes it when the upstream is gone. Every write is conditional, so that
/// one that takes effect late changes nothing that was written since.
class AgentEntry {
 public:
  AgentEntry(boost::asio::io_context& loop,
             std::unique_ptr<StoreConnection> store, std::string name,
             std::string content, uint64_t seed);

  /// Writes the entry unless a write is in progress.
  void Publish();

  /// Removes the entry. `Publish` brings it back.
  void Withdraw();

  /// Notes a poll of `balancer`, and writes the entry again when the balancer
  /// does not find it in the store.
  void NotePoll(const Endpoint& balancer, bool is_listed, TimePoint now);

  /// Checks the entry when no balancer polls: it may have been removed while
  /// this agent was cut off, and balancers poll only agents that they find.
  /// Called at every tick.
  void Review(TimePoint now);

  /// True once the store holds the entry, and again after Withdraw() once it
  /// does not.
  bool is_settled() const { return is_settled_; }
  /// True while the entry is in the store as far as this agent knows.
  bool is_published() const { return is_settled_ && is_wanted_; }

 private:
  void Step();
  void Create();
  void Correct();
  void Remove();
  void Settle(uint64_t revision);
  void Retry(const Error& error);

  std::unique_ptr<StoreConnection> store_;
  boost::asio::steady_timer timer_;
  std::string name_;
  std::string content_;
  Random random_;
  bool is_wanted_ = false;
  /// What the call in progress is to achieve.
  bool pending_wish_ = false;
  bool is_settled_ = false;
  bool is_busy_ = false;
  uint32_t failures_ = 0;
  /// When a balancer last polled, and when the entry was last written again.
  TimePoint polled_;
  TimePoint checked_;
  /// Revision of the entry as last seen; 0 when unknown.
  uint64_t revision_ = 0;
};

}  // namespace medlarwinch
