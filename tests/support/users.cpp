#include "support/users.hpp"

#include <memory>
#include <utility>

#include "support/requests.hpp"
#include "support/world.hpp"

namespace elmstall::test {

namespace {

// Seconds.
constexpr double kOneWayDelay = 0.002;
constexpr double kRequestTimeout = 5;
constexpr double kPollTimeout = 2;
constexpr double kRetryDuration = 60;
constexpr double kRetryInterval = 1.0;

}  // namespace

void Users::send(std::size_t node, net::Request request, double timeout_s, Done done) {
  auto pending = std::make_shared<bool>(true);
  const Done finish = [pending, done = std::move(done)](std::optional<net::Response> response) {
    if (std::exchange(*pending, false)) done(std::move(response));
  };
  world_.loop.after(timeout_s, [finish] { finish(std::nullopt); });
  if (world_.external_delivery) return world_.external_delivery(node, std::move(request), finish);
  const auto& process = world_.processes.at(node);
  if (!process.alive() || world_.network.zone_cut(process.settings.zone)) return;
  world_.loop.after(kOneWayDelay, [this, node, finish, request = std::move(request)] {
    deliver(node, request, finish);
  });
}

void Users::deliver(std::size_t node, const net::Request& request, const Done& done) {
  auto& process = world_.processes.at(node);
  if (!process.alive()) return;
  world_.message_copies.repeat([&process, request] {
    if (process.alive()) process.request(request, [](const net::Response&) {});
  });
  process.request(request, [this, done](const net::Response& response) {
    if (world_.random() < world_.network.loss) return;
    world_.loop.after(kOneWayDelay, [done, response] { done(response); });
  });
}

void Users::register_job(const wire::JobSpec& spec) {
  specs_[spec.id] = spec;
  world_.rules.record_submitted(spec);
}

void Users::submit(const wire::JobSpec& spec) {
  register_job(spec);
  submit_with_retries(spec, world_.loop.now() + kRetryDuration);
}

void Users::submit_at(std::size_t node, const wire::JobSpec& spec,
                      std::function<void()> on_failure) {
  const double requested_at = world_.loop.now();
  send(node, submit_request(spec), kRequestTimeout,
       [this, spec, requested_at,
        on_failure = std::move(on_failure)](const std::optional<net::Response>& response) {
         const int status = response ? response->status : 0;
         // A 201 also carries a state, which the went_back check must cover.
         if (status == 200 || status == 201)
           return record_state(spec.id, job_state_in(*response), requested_at);
         if (status == 400 || status == 422) return world_.rules.record_rejected(spec.id);
         on_failure();
       });
}

void Users::submit_with_retries(const wire::JobSpec& spec, double until) {
  submit_at(world_.pick(world_.node_count()), spec, [this, spec, until] {
    if (world_.loop.now() < until)
      world_.loop.after(kRetryInterval, [this, spec, until] { submit_with_retries(spec, until); });
  });
}

void Users::cancel(const std::string& id) {
  world_.rules.record_cancel_request(id);
  cancel_with_retries(id, world_.loop.now() + kRetryDuration);
}

void Users::cancel_with_retries(const std::string& id, double until) {
  const double requested_at = world_.loop.now();
  send(world_.pick(world_.node_count()), cancel_request(id), kRequestTimeout,
       [this, id, until, requested_at](const std::optional<net::Response>& response) {
         const int status = response ? response->status : 0;
         if (status == 200) return record_status_response(id, *response, requested_at);
         if (status == 404) return world_.rules.record_not_found(id, requested_at);
         if (world_.loop.now() < until)
           world_.loop.after(kRetryInterval, [this, id, until] { cancel_with_retries(id, until); });
       });
}

void Users::poll(const std::string& id) { poll_at(world_.pick(world_.node_count()), id); }

void Users::poll_at(std::size_t node, const std::string& id) {
  const double requested_at = world_.loop.now();
  send(node, status_request(id), kPollTimeout,
       [this, id, requested_at](const std::optional<net::Response>& response) {
         const int status = response ? response->status : 0;
         if (status == 404) return world_.rules.record_not_found(id, requested_at);
         if (status != 200) return;
         last_response_at_[id] = world_.loop.now();
         record_status_response(id, *response, requested_at);
       });
}

bool Users::cancel_at(std::size_t node, const std::string& id, double wait_s) {
  world_.rules.record_cancel_request(id);
  const double requested_at = world_.loop.now();
  // Shared, because the response may arrive after the wait.
  auto cancelled = std::make_shared<bool>(false);
  world_.send_to_node(node, cancel_request(id),
                      [this, id, requested_at, cancelled](const net::Response& response) {
                        if (response.status == 404)
                          return world_.rules.record_not_found(id, requested_at);
                        if (response.status != 200) return;
                        record_status_response(id, response, requested_at);
                        *cancelled = job_state_in(response) == wire::JobState::cancelled;
                      });
  world_.run_for(wait_s);
  return *cancelled;
}

void Users::record_status_response(const std::string& id, const net::Response& response,
                                   double requested_at) {
  const auto state = job_state_in(response);
  reported_states_[id] = state;
  record_state(id, state, requested_at);
}

void Users::record_state(const std::string& id, wire::JobState state, double requested_at) {
  world_.rules.record_status(world_.loop.now(), id, state, requested_at);
  if (cross_check_enabled_ && cross_checked_.insert({id, state}).second)
    cross_check_at_all_nodes(id);
}

void Users::cross_check_at_all_nodes(const std::string& id) {
  for (std::size_t node = 0; node < world_.node_count(); ++node) {
    for (const double delay : {0.01 * world_.random(), 3 * world_.random()}) {
      world_.loop.after(delay, [this, node, id] { poll_at(node, id); });
      world_.loop.after(delay, [this, node, id] { submit_at(node, specs_.at(id), [] {}); });
    }
  }
}

const wire::JobSpec* Users::spec(const std::string& id) const {
  const auto found = specs_.find(id);
  return found == specs_.end() ? nullptr : &found->second;
}

std::optional<wire::JobState> Users::last_reported_state(const std::string& id) const {
  const auto found = reported_states_.find(id);
  if (found == reported_states_.end()) return std::nullopt;
  return found->second;
}

double Users::last_response_at(const std::string& id) const {
  const auto found = last_response_at_.find(id);
  return found == last_response_at_.end() ? -1 : found->second;
}

}  // namespace elmstall::test
