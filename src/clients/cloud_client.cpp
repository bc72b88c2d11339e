#include "clients/cloud_client.hpp"

#include "config/constants.hpp"

namespace elmstall::clients {
namespace {

/// Largest number of simultaneous connections to the cloud.
constexpr std::size_t kMaxConnections = 4;

/// The decoded body of a response with status 200. Nothing for any other response, and for a body
/// that can't be decoded.
template <typename Decode>
auto decode_success(const net::Reply& reply, Decode&& decode)
    -> std::optional<decltype(decode(std::declval<const wire::Object&>()))> {
  if (reply.status != 200) return std::nullopt;
  try {
    return decode(wire::Document::parse(reply.body).root());
  } catch (const wire::DecodeError&) {
    return std::nullopt;
  }
}

ProvisionResult provision_result(const net::Reply& reply) {
  using Outcome = ProvisionResult::Outcome;
  if (auto machines = decode_success(reply, wire::decode_machine_ids))
    return {Outcome::ok, std::move(*machines)};
  switch (reply.status) {
    case 503:
      // The cloud uses 503 both when it has no such machine and when its interface is faulty; only
      // the text of the body distinguishes the two.
      return {reply.body.find("no capacity") != std::string::npos ? Outcome::no_capacity
                                                                  : Outcome::unavailable,
              {}};
    case 429:
      return {Outcome::unavailable, {}};
    case 400:
      return {Outcome::rejected, {}};
    default:
      return {Outcome::unknown, {}};
  }
}

}  // namespace

CloudClient::CloudClient(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint)
    : client_(io, endpoint, kMaxConnections) {}

void CloudClient::machine_types(
    std::function<void(std::optional<std::vector<wire::MachineType>>)> done) {
  client_.request("GET", "/flavors", {}, constants::kCloudTimeout,
                  [done = std::move(done)](const net::Reply& reply) {
                    done(decode_success(reply, wire::decode_machine_types));
                  });
}

void CloudClient::list(const std::string& since,
                       std::function<void(std::optional<wire::CloudPage>)> done) {
  std::string path = "/hosts?most=" + std::to_string(constants::kCloudPage);
  if (!since.empty()) path += "&since=" + since;
  client_.request("GET", path, {}, constants::kCloudTimeout,
                  [done = std::move(done)](const net::Reply& reply) {
                    done(decode_success(reply, wire::decode_cloud_page));
                  });
}

void CloudClient::provision(const std::string& name, const std::string& type,
                            const std::string& zone, bool spot, int count,
                            std::function<void(ProvisionResult)> done) {
  client_.request("POST", "/hosts", wire::encode_provision_request(name, type, zone, spot, count),
                  constants::kCloudTimeout, [done = std::move(done)](const net::Reply& reply) {
                    done(provision_result(reply));
                  });
}

void CloudClient::terminate(const std::vector<std::string>& machines,
                            std::function<void(bool)> done) {
  client_.request("POST", "/hosts/release", wire::encode_machine_ids(machines),
                  constants::kCloudTimeout,
                  [done = std::move(done)](const net::Reply& reply) { done(reply.status == 200); });
}

}  // namespace elmstall::clients
