/// @file
/// The cloud's interface over HTTP.
#pragma once

#include <asio.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "clients/cloud.hpp"
#include "net/http_client.hpp"

namespace elmstall::clients {

/// Sends each call as one HTTP request with a time-out of `constants::kCloudTimeout`, without
/// retries. A response that can't be decoded counts as a failure, or as unknown for provisioning.
/// Runs on the thread of the io_context, which must outlive this object.
class CloudClient : public Cloud {
 public:
  /// `endpoint` is the address of the cloud's interface. Connects on the first request.
  CloudClient(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint);

  void machine_types(
      std::function<void(std::optional<std::vector<wire::MachineType>>)> done) override;
  void list(const std::string& since,
            std::function<void(std::optional<wire::CloudPage>)> done) override;
  void provision(const std::string& name, const std::string& type, const std::string& zone,
                 bool spot, int count, std::function<void(ProvisionResult)> done) override;
  void terminate(const std::vector<std::string>& machines, std::function<void(bool)> done) override;

 private:
  net::HttpClient client_;
};

}  // namespace elmstall::clients
