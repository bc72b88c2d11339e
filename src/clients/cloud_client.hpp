#pragma once

#include <asio.hpp>

#include "clients/cloud.hpp"
#include "net/http_client.hpp"

namespace elmstall::clients {

class CloudClient : public Cloud {
 public:
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
