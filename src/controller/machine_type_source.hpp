/// @file
/// Requests the machine types from the cloud until it answers. Runs on the controller's event loop.
#pragma once

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "clients/cloud.hpp"
#include "config/constants.hpp"
#include "runtime/command_queue.hpp"

namespace elmstall::controller {

/// Fetches the machine types once, and repeats the request as long as it fails.
class MachineTypeSource {
 public:
  /// Receives the machine types.
  using Callback = std::function<void(std::vector<wire::MachineType>)>;

  /// `callback` is called once, with at least one type.
  MachineTypeSource(runtime::EventLoop& event_loop, runtime::CommandQueue& queue,
                    clients::Cloud& cloud, Callback callback)
      : loop_(event_loop), cloud_(cloud), callback_(std::move(callback)), scope_(queue) {}

  /// Sends a request, and others every `constants::kTypesRetry` seconds until one succeeds.
  void fetch() {
    cloud_.machine_types(
        scope_.wrap([this](std::optional<std::vector<wire::MachineType>> machine_types) {
          if (machine_types && !machine_types->empty()) return callback_(std::move(*machine_types));
          loop_.after(constants::kTypesRetry, scope_.wrap([this] { fetch(); }));
        }));
  }

 private:
  runtime::EventLoop& loop_;
  clients::Cloud& cloud_;
  Callback callback_;
  runtime::CommandScope scope_;
};

}  // namespace elmstall::controller
