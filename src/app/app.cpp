#include "app/app.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "config/constants.hpp"
#include "config/settings.hpp"
#include "engine/node.hpp"
#include "fleet/cloud_client.hpp"
#include "ledger/state_client.hpp"
#include "mesh/tcp_mesh.hpp"
#include "net/http_server.hpp"

namespace elmstall::app {
namespace {

/// The engine's time, chance and waiting on an Asio loop.
class AsioRuntime : public engine::Runtime {
 public:
  explicit AsioRuntime(asio::io_context& io) : io_(io), random_(std::random_device{}()) {}

  [[nodiscard]] double now() const override {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
  }
  [[nodiscard]] double wall() const override {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  }
  [[nodiscard]] double random() override { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void after(double seconds, std::function<void()> fn) override {
    auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
    timer->async_wait([timer, fn = std::move(fn)](asio::error_code error) {
      if (!error) fn();
    });
  }
  void defer(std::function<void()> fn) override { asio::post(io_, std::move(fn)); }
  [[nodiscard]] std::string incarnation() { return std::to_string(random_()) + std::to_string(random_()); }

 private:
  asio::io_context& io_;
  std::mt19937_64 random_;
};

void set_up_logging() {
  auto logger = std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(logger);
  const char* wanted = std::getenv("LOG_LEVEL");
  const std::string level = wanted == nullptr ? "info" : wanted;
  if (level == "error") spdlog::set_level(spdlog::level::err);
  else if (level == "debug") spdlog::set_level(spdlog::level::debug);
  else spdlog::set_level(spdlog::level::info);
  if (level != "error" && level != "debug" && level != "info") {
    spdlog::error("LOG_LEVEL: '{}' is none of error, info, debug; using info", level);
  }
}

ledger::RateShare rate_share(const config::Settings& settings) {
  // Any node may be the leader, which needs most of the writes; the service
  // refuses what all together ask for beyond its limits, and that is retried.
  const auto nodes = static_cast<double>(settings.peers.size() + 1);
  return {settings.state_rps * std::max(0.5, 1 / nodes), settings.state_write_rps * std::max(0.6, 1 / nodes)};
}

int serve(const config::Settings& settings) {
  asio::io_context io(1);
  AsioRuntime runtime(io);
  ledger::StateClient store(io, net::parse_endpoint(settings.state_endpoint), rate_share(settings));
  fleet::CloudClient cloud(io, net::parse_endpoint(settings.cloud_endpoint));
  engine::Node node(settings, {runtime, store, cloud}, runtime.incarnation());

  const auto inbound = static_cast<std::size_t>(settings.fd_limit * constants::kInboundSocketShare);
  try {
    mesh::TcpMesh mesh(io, net::parse_endpoint(settings.mesh_addr), settings.peers,
                       [&node](mesh::Message message) { node.on_message(std::move(message)); });
    net::HttpServer server(io, net::parse_endpoint(settings.api_addr), {inbound, constants::kMaxBodyBytes},
                           [&node](net::Request request, net::Responder respond) { node.on_request(std::move(request), std::move(respond)); });
    spdlog::info("{} {} in {} serves {}", settings.node, ELMSTALL_VERSION, settings.zone, settings.api_addr);
    node.start(mesh);
    io.run();
  } catch (const std::system_error& error) {
    std::fprintf(stderr, "elmstall: cannot serve on %s and %s: %s\n", settings.api_addr.c_str(), settings.mesh_addr.c_str(), error.what());
    return kCannotListen;
  }
  return kOk;
}

}  // namespace

int run(int argc, char** argv) {
  CLI::App cli("elmstall, a cluster scheduler: one controller of a deployment", "elmstall");
  std::string settings_file;
  std::string properties_file;
  bool check = false;
  cli.add_option("--config", settings_file, "settings file of the platform (TOML)")->required();
  cli.add_option("--properties", properties_file, "operators' own settings (Java-style properties)");
  cli.add_flag("--check", check, "validate the settings and exit");
  cli.set_version_flag("--version", std::string("elmstall ") + ELMSTALL_VERSION);
  try {
    cli.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return cli.exit(error) == 0 ? kOk : kUsage;
  }
  try {
    auto settings = config::load_settings(settings_file);
    if (!properties_file.empty()) settings.tuning = config::load_properties(properties_file);
    if (check) {
      std::printf("%s: good\n", settings_file.c_str());
      return kOk;
    }
    set_up_logging();
    return serve(settings);
  } catch (const config::Invalid& error) {
    std::fprintf(stderr, "elmstall: %s\n", error.what());
    return kBadSettings;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "elmstall: %s\n", error.what());
    return kFailed;
  }
}

}  // namespace elmstall::app
