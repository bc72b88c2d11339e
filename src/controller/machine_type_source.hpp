// Asks the cloud for the machine types until it tells them.
#pragma once

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "clients/cloud.hpp"
#include "config/constants.hpp"
#include "runtime/command_queue.hpp"

namespace elmstall::controller {

class MachineTypeSource {
 public:
  using Found = std::function<void(std::vector<wire::MachineType>)>;

  /// `found` is called once, with at least one type.
  MachineTypeSource(runtime::EventLoop& event_loop, runtime::CommandQueue& queue,
                    clients::Cloud& cloud, Found found)
      : loop_(event_loop), cloud_(cloud), found_(std::move(found)), scope_(queue) {}

  void fetch() {
    cloud_.machine_types(
        scope_.wrap([this](std::optional<std::vector<wire::MachineType>> machine_types) {
          if (machine_types && !machine_types->empty()) return found_(std::move(*machine_types));
          loop_.after(constants::kTypesRetry, scope_.wrap([this] { fetch(); }));
        }));
  }

 private:
  runtime::EventLoop& loop_;
  clients::Cloud& cloud_;
  Found found_;
  runtime::CommandScope scope_;
};

}  // namespace elmstall::controller
