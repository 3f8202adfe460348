#include "pollenledge/connection/peer_link.h"

#include <capnp/ez-rpc.h>
#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <openssl/crypto.h>

#include <future>
#include <map>
#include <thread>
#include <utility>

#include "heartbeat_codec.h"
#include "wire_codec.h"

namespace pollenledge {
namespace {

bool TokensMatch(const std::string& expected, capnp::Text::Reader received) {
  return expected.size() == received.size() &&
         CRYPTO_memcmp(expected.data(), received.begin(), received.size()) == 0;
}

// The RPC server that passes other processes' calls to the PeerService.
class LinkServer final : public wire::EntryLink::Server {
 public:
  LinkServer(std::string token, PeerService* service)
      : token_(std::move(token)), service_(service) {}

  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    CheckHeader(context.getParams().getHeader());
    service_->OnPeerEvent(
        event::HeartbeatReceived{FromWire(context.getParams().getHeartbeat())});
    return kj::READY_NOW;
  }

  kj::Promise<void> upstreamNotice(
      wire::Peer::Server::UpstreamNoticeContext context) override {
    const auto params = context.getParams();
    CheckHeader(params.getHeader());
    service_->OnPeerEvent(event::UpstreamNoticeReceived{
        FromWire(params.getUpstream()),
        static_cast<UpstreamState>(params.getState()),
        RemainingFromWire(params.getRemainingMicros()), "peer"});
    return kj::READY_NOW;
  }

  kj::Promise<void> queryHolder(QueryHolderContext context) override {
    CheckHeader(context.getParams().getHeader());
    const ClaimOwnerResponse owner =
        service_->QueryClaimOwner(FromWire(context.getParams().getId()));
    auto results = context.getResults();
    results.setWord(static_cast<wire::HolderWord>(owner.status));
    if (owner.outcome.has_value()) results.setOutcome(ToJson(*owner.outcome));
    return kj::READY_NOW;
  }

  kj::Promise<void> handOver(HandOverContext context) override {
    CheckHeader(context.getParams().getHeader());
    context.getResults().setAccepted(
        service_->HandOver(FromWire(context.getParams().getRequest())));
    return kj::READY_NOW;
  }

  kj::Promise<void> fetch(FetchContext context) override {
    const auto params = context.getParams();
    CheckHeader(params.getHeader());
    const FetchedResponse response = service_->Fetch(
        FromWire(params.getId()), params.getCustomer(), params.getOffset());
    auto results = context.getResults();
    results.setFound(response.found);
    results.setFinished(response.finished);
    results.setHttpStatus(static_cast<std::uint16_t>(response.http_status));
    results.setContentType(response.content_type);
    results.setData(DataToWire(response.data));
    return kj::READY_NOW;
  }

  kj::Promise<void> tables(TablesContext context) override {
    CheckHeader(context.getParams().getHeader());
    const VersionedTablesYaml tables = service_->ActiveTables();
    auto results = context.getResults();
    results.setVersion(tables.version);
    results.setRoutes(tables.yaml.routes);
    results.setPools(tables.yaml.pools);
    return kj::READY_NOW;
  }

  kj::Promise<void> applyTables(ApplyTablesContext context) override {
    const auto params = context.getParams();
    CheckHeader(params.getHeader());
    const VersionedTablesYaml tables{params.getVersion(),
                                     {params.getRoutes(), params.getPools()}};
    context.getResults().setVersionInForce(service_->ApplyTables(tables));
    return kj::READY_NOW;
  }

  kj::Promise<void> listUpstreams(ListUpstreamsContext context) override {
    CheckHeader(context.getParams().getHeader());
    std::vector<ListedUpstream> upstreams;
    for (const auto upstream : context.getParams().getUpstreams()) {
      upstreams.push_back(FromWire(upstream));
    }
    service_->ApplyUpstreamList(upstreams);
    return kj::READY_NOW;
  }

  kj::Promise<void> forwardNotice(ForwardNoticeContext context) override {
    const auto params = context.getParams();
    CheckHeader(params.getHeader());
    service_->OnPeerEvent(event::UpstreamNoticeReceived{
        FromWire(params.getUpstream()),
        static_cast<UpstreamState>(params.getState()),
        RemainingFromWire(params.getRemainingMicros()), params.getSource()});
    return kj::READY_NOW;
  }

  kj::Promise<void> drain(DrainContext context) override {
    const auto params = context.getParams();
    CheckHeader(params.getHeader());
    service_->OnPeerEvent(
        event::DrainRequested{RemainingFromWire(params.getRemainingMicros())});
    return kj::READY_NOW;
  }

  kj::Promise<void> report(ReportContext context) override {
    CheckHeader(context.getParams().getHeader());
    const EntryReport report = service_->Report();
    auto results = context.getResults();
    results.setStatus(report.status);
    results.setTimeLine(report.time_line);
    results.setUsage(report.usage);
    results.setRoutes(report.tables.yaml.routes);
    results.setPools(report.tables.yaml.pools);
    results.setVersion(report.tables.version);
    return kj::READY_NOW;
  }

 private:
  // Rejects the call if its token does not match, and merges its clock.
  void CheckHeader(wire::Header::Reader header) {
    KJ_REQUIRE(TokensMatch(token_, header.getToken()),
               "peer token does not match");
    service_->ReceiveClock(FromWire(header.getClock()));
  }

  std::string token_;
  PeerService* service_;
};

}  // namespace

class PeerLink::Impl {
 public:
  Impl(Options options, PeerService* service)
      : options_(std::move(options)), service_(service) {
    std::promise<void> started;
    std::future<void> ready = started.get_future();
    thread_ = std::thread([this, &started] { RunLoop(&started); });
    try {
      ready.get();
    } catch (...) {
      thread_.join();
      throw;
    }
  }

  ~Impl() {
    executor_->executeSync([this] { stop_->fulfill(); });
    thread_.join();
  }

  // Makes one call on the loop's thread and blocks until it has finished.
  // `make_request` creates the request with its parameters, `read` receives
  // the results.
  template <typename MakeRequest, typename Read>
  Status Call(const std::string& address, MakeRequest make_request, Read read) {
    try {
      executor_->executeSync([&]() -> kj::Promise<void> {
        // Keeps the connection alive for this call if another failed call
        // removes it from `clients_`.
        std::shared_ptr<Client> client = ClientFor(address);
        auto request = make_request(client->entry_link);
        auto header = request.initHeader();
        header.setToken(options_.token);
        if (service_ != nullptr)
          ToWire(service_->TickClock(), header.initClock());
        auto response = request.send().then(
            [read](auto&& results) mutable { read(results); });
        auto timeout =
            timer_->afterDelay(options_.timeout.count() * kj::MICROSECONDS)
                .then([]() -> void {
                  kj::throwFatalException(
                      KJ_EXCEPTION(OVERLOADED, "peer call timed out"));
                });
        return response.exclusiveJoin(kj::mv(timeout)).attach(kj::mv(client));
      });
      return std::monostate();
    } catch (const kj::Exception& exception) {
      executor_->executeSync([&] { clients_.erase(address); });
      return Error{ErrorCode::kUnknownOutcome,
                   "call to " + address + ": " +
                       std::string(exception.getDescription().cStr())};
    }
  }

 private:
  void RunLoop(std::promise<void>* started) {
    try {
      // Without a server, `RunClientOnly` sets up the event loop.
      std::unique_ptr<capnp::EzRpcServer> server;
      if (options_.listen_address.empty()) {
        RunClientOnly(started);
        return;
      }
      server = std::make_unique<capnp::EzRpcServer>(
          kj::heap<LinkServer>(options_.token, service_),
          options_.listen_address);
      server->getPort().wait(server->getWaitScope());
      Serve(started, server->getIoProvider(), server->getWaitScope());
    } catch (const kj::Exception& exception) {
      started->set_exception(std::make_exception_ptr(
          std::runtime_error(exception.getDescription().cStr())));
    }
  }

  void RunClientOnly(std::promise<void>* started) {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    Serve(started, *io.provider, io.waitScope);
  }

  void Serve(std::promise<void>* started, kj::AsyncIoProvider& provider,
             kj::WaitScope& scope) {
    provider_ = &provider;
    timer_ = &provider.getTimer();
    auto stopped = kj::newPromiseAndFulfiller<void>();
    stop_ = kj::mv(stopped.fulfiller);
    const kj::Executor& executor = kj::getCurrentThreadExecutor();
    executor_ = &executor;
    started->set_value();
    stopped.promise.wait(scope);
    clients_.clear();
  }

  // A connection to a peer: a two-party RPC system over one TCP stream. The
  // stream may still be connecting when the first call is made.
  struct Client {
    explicit Client(kj::Promise<kj::Own<kj::AsyncIoStream>> connecting)
        : stream(kj::newPromisedStream(kj::mv(connecting))),
          network(*stream, capnp::rpc::twoparty::Side::CLIENT),
          system(capnp::makeRpcClient(network)),
          entry_link(Bootstrap(&system)) {}

    static wire::EntryLink::Client Bootstrap(
        capnp::RpcSystem<capnp::rpc::twoparty::VatId>* system) {
      capnp::MallocMessageBuilder message;
      auto id = message.initRoot<capnp::rpc::twoparty::VatId>();
      id.setSide(capnp::rpc::twoparty::Side::SERVER);
      return system->bootstrap(id).castAs<wire::EntryLink>();
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    // Obtained only once, because bootstrapping fails on a network that was
    // shut down.
    wire::EntryLink::Client entry_link;
  };

  std::shared_ptr<Client> ClientFor(const std::string& address) {
    auto& client = clients_[address];
    if (client == nullptr) {
      auto connecting = provider_->getNetwork().parseAddress(address).then(
          [](kj::Own<kj::NetworkAddress>&& parsed) {
            auto connected = parsed->connect();
            return connected.attach(kj::mv(parsed));
          });
      client = std::make_shared<Client>(kj::mv(connecting));
    }
    return client;
  }

  Options options_;
  PeerService* service_;
  std::thread thread_;
  kj::AsyncIoProvider* provider_ = nullptr;
  kj::Timer* timer_ = nullptr;
  const kj::Executor* executor_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> stop_;
  std::map<std::string, std::shared_ptr<Client>> clients_;
};

PeerLink::PeerLink(Options options, PeerService* service)
    : impl_(std::make_unique<Impl>(std::move(options), service)) {}

PeerLink::~PeerLink() = default;

Status PeerLink::SendHeartbeat(const HeartbeatMessage& message) {
  return impl_->Call(
      message.address,
      [&](wire::EntryLink::Client client) {
        auto request = client.heartbeatRequest();
        ToWire(message.heartbeat, request.initHeartbeat());
        return request;
      },
      [](auto&&) {});
}

Status PeerLink::SendUpstreamNotice(
    const std::string& address, const event::UpstreamNoticeReceived& notice) {
  return impl_->Call(
      address,
      [&](wire::EntryLink::Client client) {
        auto request = client.upstreamNoticeRequest();
        ToWire(notice.upstream, request.initUpstream());
        request.setState(static_cast<wire::UpstreamState>(notice.state));
        request.setRemainingMicros(RemainingToWire(notice.remaining));
        return request;
      },
      [](auto&&) {});
}

ClaimOwnerResponse PeerLink::QueryClaimOwner(const std::string& address,
                                             const RequestId& id) {
  ClaimOwnerResponse owner;
  const Status status = impl_->Call(
      address,
      [&](wire::EntryLink::Client client) {
        auto request = client.queryHolderRequest();
        ToWire(id, request.initId());
        return request;
      },
      [&owner](auto&& results) {
        owner.status = static_cast<ClaimOwnerStatus>(results.getWord());
        if (!results.hasOutcome()) return;
        Result<ClaimRecord> record = ParseClaimRecord(results.getOutcome());
        if (Ok(record)) owner.outcome = std::move(Value(record));
      });
  return Ok(status) ? owner : ClaimOwnerResponse{};
}

Result<bool> PeerLink::HandOver(const std::string& address,
                                const HandOverMessage& message) {
  bool accepted = false;
  const Status status = impl_->Call(
      address,
      [&](wire::EntryLink::Client client) {
        auto request = client.handOverRequest();
        ToWire(message, request.initRequest());
        return request;
      },
      [&accepted](auto&& results) { accepted = results.getAccepted(); });
  if (!Ok(status)) return ErrorOf(status);
  return accepted;
}

Result<FetchedResponse> PeerLink::Fetch(const std::string& address,
                                        const RequestId& id,
                                        const std::string& customer,
                                        std::uint64_t offset) {
  FetchedResponse response;
  const Status status = impl_->Call(
      address,
      [&](wire::EntryLink::Client client) {
        auto request = client.fetchRequest();
        ToWire(id, request.initId());
        request.setCustomer(customer);
        request.setOffset(offset);
        return request;
      },
      [&response](auto&& results) {
        response.found = results.getFound();
        response.finished = results.getFinished();
        response.http_status = results.getHttpStatus();
        response.content_type = results.getContentType();
        response.data = DataFromWire(results.getData());
      });
  if (!Ok(status)) return ErrorOf(status);
  return response;
}

Result<VersionedTablesYaml> PeerLink::FetchTables(const std::string& address) {
  VersionedTablesYaml tables;
  const Status status = impl_->Call(
      address,
      [&](wire::EntryLink::Client client) { return client.tablesRequest(); },
      [&tables](auto&& results) {
        tables = {results.getVersion(),
                  {results.getRoutes(), results.getPools()}};
      });
  if (!Ok(status)) return ErrorOf(status);
  return tables;
}

Result<std::uint64_t> PeerLink::ApplyTables(const std::string& address,
                                            const VersionedTablesYaml& tables) {
  std::uint64_t active_version = 0;
  const Status status = impl_->Call(
      address,
      [&](wire::EntryLink::Client client) {
        auto request = client.applyTablesRequest();
        request.setVersion(tables.version);
        request.setRoutes(tables.yaml.routes);
        request.setPools(tables.yaml.pools);
        return request;
      },
      [&active_version](auto&& results) {
        active_version = results.getVersionInForce();
      });
  if (!Ok(status)) return ErrorOf(status);
  return active_version;
}

Status PeerLink::SendUpstreamList(
    const std::string& address, const std::vector<ListedUpstream>& upstreams) {
  return impl_->Call(
      address,
      [&](wire::EntryLink::Client client) {
        auto request = client.listUpstreamsRequest();
        auto list =
            request.initUpstreams(static_cast<unsigned>(upstreams.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
          ToWire(upstreams[i], list[i]);
        }
        return request;
      },
      [](auto&&) {});
}

Status PeerLink::ForwardNotice(const std::string& address,
                               const event::UpstreamNoticeReceived& notice) {
  return impl_->Call(
      address,
      [&](wire::EntryLink::Client client) {
        auto request = client.forwardNoticeRequest();
        ToWire(notice.upstream, request.initUpstream());
        request.setState(static_cast<wire::UpstreamState>(notice.state));
        request.setRemainingMicros(RemainingToWire(notice.remaining));
        request.setSource(notice.source);
        return request;
      },
      [](auto&&) {});
}

Status PeerLink::Drain(const std::string& address,
                       std::optional<Duration> remaining) {
  return impl_->Call(
      address,
      [&](wire::EntryLink::Client client) {
        auto request = client.drainRequest();
        request.setRemainingMicros(RemainingToWire(remaining));
        return request;
      },
      [](auto&&) {});
}

Result<EntryReport> PeerLink::FetchReport(const std::string& address) {
  EntryReport report;
  const Status status = impl_->Call(
      address,
      [&](wire::EntryLink::Client client) { return client.reportRequest(); },
      [&report](auto&& results) {
        report.status = results.getStatus();
        report.time_line = results.getTimeLine();
        report.usage = results.getUsage();
        report.tables = {results.getVersion(),
                         {results.getRoutes(), results.getPools()}};
      });
  if (!Ok(status)) return ErrorOf(status);
  return report;
}

}  // namespace pollenledge
