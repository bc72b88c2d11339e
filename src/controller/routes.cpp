#include "controller/routes.hpp"

#include <string_view>

namespace elmstall::controller {
namespace {

constexpr std::string_view kJobsPath = "/api/jobs";
constexpr std::string_view kJobPrefix = "/api/jobs/";
constexpr std::string_view kCancelSuffix = "/cancel";

Route job_route(const std::string& method, std::string id) {
  if (!id.ends_with(kCancelSuffix))
    return {method == "GET" ? Endpoint::poll_job : Endpoint::wrong_method, std::move(id)};
  id.resize(id.size() - kCancelSuffix.size());
  return {method == "POST" ? Endpoint::cancel_job : Endpoint::wrong_method, std::move(id)};
}

}  // namespace

Route find_route(const std::string& method, const std::string& path_and_query) {
  const auto path = path_and_query.substr(0, path_and_query.find('?'));
  if (path == "/ready") return {method == "GET" ? Endpoint::ready : Endpoint::wrong_method, {}};
  if (path == "/v1/report")
    return {method == "POST" ? Endpoint::heartbeat : Endpoint::wrong_method, {}};
  if (path == kJobsPath)
    return {method == "POST" ? Endpoint::submit_job : Endpoint::wrong_method, {}};
  if (path.starts_with(kJobPrefix)) return job_route(method, path.substr(kJobPrefix.size()));
  return {};
}

}  // namespace elmstall::controller
