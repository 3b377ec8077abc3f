#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "medlarwinch/coordination/packet_path/balancer_relay.h"
#include "medlarwinch/coordination/packet_path/outlier_weights.h"
#include "medlarwinch/node/held_packet_queue.h"
#include "medlarwinch/node/node_runtime.h"
#include "medlarwinch/node/platform_adapter.h"
#include "medlarwinch/node/socket_arrivals.h"
#include "medlarwinch/node/store_watch.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "medlarwinch/transport/async_udp_socket.h"

namespace medlarwinch {

/// I/O layer of a balancer: passes datagrams, responses of the metadata store
/// and timers to BalancerRelay as events and executes the actions that it
/// returns.
class BalancerNode {
 public:
  BalancerNode(boost::asio::io_context& loop, const NodeSettings& settings,
               PlatformAdapter platform, uint64_t seed);

  /// Opens the sockets and starts to watch the store. Fails with kUnavailable
  /// when an address can't be bound.
  Result<Ok> Start();

 private:
  void HandleDatagram(std::span<const uint8_t> datagram);
  bool PacesUploads() const;
  /// Records a caller's packet. Holds or drops an opening whose upload has no
  /// room on the link yet; the caller of this function relays other packets.
  UploadPacketEffect RecordUpload(const FlowPacket& packet, ByteView datagram,
                                  TimePoint now);
  void LogHeldOpening(const FlowTuple& flow, Millis hold);
  void RelayHeldOpening(const HeldPacket& held);
  /// Polls the presumed owner of an upload flow.
  void PollUploadAgent(const FlowTuple& flow);
  void HandleMessage(const Endpoint& from, ByteView datagram);
  void HandleStatus(const Endpoint& from, const AgentStatus& status);
  /// `received_at` is set for an opening that was held, on the clock that also
  /// counts suspension.
  void ExecuteActions(RelayActions& actions, ByteView packet,
                      std::optional<TimePoint> received_at = std::nullopt);
  void SchedulePendingQueries();
  void SendReset(const ResetCaller& reset);
  void ObserveStoreEra(uint64_t era);
  void ReconnectOutdatedWatch(StoreWatch* watch);
  void HandleConfiguration(const StoredObject& object);
  void HandleAgentListing(const ObjectListing& listing);
  void ConfirmAgents();
  void HandleAgentChange(const ObjectChange& change);
  void HandleRefusedEntry(const StoredObject& object, const Error& error);
  void WatchConfiguration();
  /// Returns the long-poll time of the next watch of the configuration or of
  /// the evacuations.
  Millis NextSharedWatchWait();
  void WatchAgents();
  void WatchEvacuations();
  /// Applies stored_evacuations_, complete as of `revision`.
  void HandleStoredEvacuations(const StoreRevision& revision);
  /// `source` is the store or the agent that passed the view on.
  void UpdateEvacuations(const EvacuationView& view, const std::string& source);
  bool UsesExtendedPolls() const;
  BalancerTerms MakeTerms(const KnownUpstream& upstream) const;
  void PollAgent(const Endpoint& agent, bool is_listed);
  void PollAgents();
  void PollStartingAgents();
  bool SendsBaselines() const;
  void RefreshBaselines(TimePoint now);
  void UpdateOutliers(TimePoint now);
  /// Polls all agents, and names those that the store does not list.
  void PollPeriodically();
  void NameUnlistedAgents();
  /// Returns false if the message is another one.
  bool HandleNamedAgents(const Endpoint& from, const RelayMessage& message);
  void UpdateSpills(TimePoint now);
  void RemoveLostAgentEntry();
  void Tick();
  bool IsReady() const;
  void BeginStop();
  std::string RenderMetrics();

  boost::asio::io_context& loop_;
  NodeSettings settings_;
  PlatformAdapter platform_;
  BalancerRelay relay_;
  RelayActions actions_;
  Bytes message_buffer_;
  RelayedPacketEncoder packet_encoder_;
  LogRateLimiter log_limiter_;
  Metrics metrics_;
  std::unique_ptr<AsyncUdpSocket> caller_socket_;
  std::unique_ptr<AsyncUdpSocket> agent_socket_;
  std::unique_ptr<StoreWatch> configuration_watch_;
  std::unique_ptr<StoreWatch> agent_watch_;
  /// Null unless the settings ask for evacuations.
  std::unique_ptr<StoreWatch> evacuation_watch_;
  /// Agent entries that can't be decoded, with the revision that was handled.
  std::map<std::string, StoreRevision> refused_entries_;
  /// Names of the evacuation objects that this process has read.
  std::set<std::string> stored_evacuations_;
  /// Connections for calls other than the watches; a connection carries one
  /// call at a time.
  std::unique_ptr<StoreConnection> confirmation_store_;
  std::unique_ptr<StoreConnection> removal_store_;
  std::unique_ptr<PeriodicTimer> poll_timer_;
  std::unique_ptr<PeriodicTimer> lost_agent_timer_;
  /// Sends the collected ownership queries.
  boost::asio::steady_timer flush_timer_;
  /// Openings of upload flows that are relayed later.
  HeldPacketQueue held_openings_;
  NodeRuntime runtime_;
  TimePoint first_listing_at_;
  TimePoint last_packet_at_;
  TimePoint last_tick_at_;
  SocketArrivals arrivals_;
  TimePoint last_refresh_at_;
  TimePoint last_confirmation_at_;
  TimePoint stop_requested_at_;
  /// Latest era of the store that a listing was read in.
  uint64_t store_era_ = 0;
  /// Number of times that all agents were polled.
  uint64_t poll_round_ = 0;
  /// As of the last poll that sent them.
  ServiceBaselines baselines_;
  uint64_t malformed_packets_ = 0;
  uint64_t malformed_messages_ = 0;
  /// The active configuration has a route of kind upload.
  bool has_upload_route_ = false;
  bool is_flush_scheduled_ = false;
  bool is_confirming_ = false;
  bool is_stopping_ = false;
};

}  // namespace medlarwinch
