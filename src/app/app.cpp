#include "app/app.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <cstdio>
#include <cstdlib>

#include "app/controller_process.hpp"
#include "config/settings.hpp"

namespace elmstall::app {
namespace {

/// Logs to the standard error output, at the level that the environment variable LOG_LEVEL names.
void set_up_logging() {
  auto logger =
      std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(logger);
  const char* wanted = std::getenv("LOG_LEVEL");
  const std::string level = wanted == nullptr ? "info" : wanted;
  if (level == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (level == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else {
    spdlog::set_level(spdlog::level::info);
  }
  if (level != "error" && level != "debug" && level != "info") {
    spdlog::error("LOG_LEVEL: '{}' is none of error, info, debug; using info", level);
  }
}

/// Runs one controller. Returns only if it can't listen on its addresses; otherwise it runs until
/// the process is killed.
int serve(const config::Settings& settings) {
  asio::io_context io(1);
  try {
    const ControllerProcess process(io, settings);
    spdlog::info("{} {} in {} serves {}", settings.node, ELMSTALL_VERSION, settings.zone,
                 settings.api_addr);
    io.run();
  } catch (const std::system_error& error) {
    std::fprintf(stderr, "elmstall: cannot serve on %s and %s: %s\n", settings.api_addr.c_str(),
                 settings.peer_addr.c_str(), error.what());
    return cannot_listen;
  }
  return ok;
}

}  // namespace

int run(int argc, char** argv) {
  CLI::App cli("elmstall, a cluster scheduler: one controller of a deployment", "elmstall");
  std::string settings_file;
  std::string properties_file;
  bool check = false;
  cli.add_option("--config", settings_file, "settings file of the platform (TOML)")->required();
  cli.add_option("--properties", properties_file,
                 "operators' own settings (Java-style properties)");
  cli.add_flag("--check", check, "validate the settings and exit");
  cli.set_version_flag("--version", std::string("elmstall ") + ELMSTALL_VERSION);
  try {
    cli.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return cli.exit(error) == 0 ? ok : usage;
  }
  try {
    auto settings = config::load_settings(settings_file);
    if (!properties_file.empty()) settings.tuning = config::load_properties(properties_file);
    if (check) {
      std::printf("%s: good\n", settings_file.c_str());
      return ok;
    }
    set_up_logging();
    return serve(settings);
  } catch (const config::SettingsError& error) {
    std::fprintf(stderr, "elmstall: %s\n", error.what());
    return bad_settings;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "elmstall: %s\n", error.what());
    return failed;
  }
}

}  // namespace elmstall::app
