#include "support/users.hpp"

#include <memory>
#include <utility>

#include "support/requests.hpp"
#include "support/world.hpp"

namespace elmstall::test {

namespace {

constexpr double kOneWayDelay = 0.002;
constexpr double kResponseLimit = 5;
constexpr double kPollLimit = 2;
constexpr double kRepeatFor = 60;
constexpr double kRepeatEvery = 1.0;

}  // namespace

void Users::send(std::size_t node, net::Request request, double limit_s, Done done) {
  auto open = std::make_shared<bool>(true);
  const Done finish = [open, done = std::move(done)](std::optional<net::Response> response) {
    if (std::exchange(*open, false)) done(std::move(response));
  };
  world_.loop.after(limit_s, [finish] { finish(std::nullopt); });
  if (world_.outside_delivery) return world_.outside_delivery(node, std::move(request), finish);
  const auto& process = world_.processes.at(node);
  if (!process.alive() || world_.network.zone_cut(process.settings.zone)) return;
  world_.loop.after(kOneWayDelay, [this, node, finish, request = std::move(request)] {
    deliver(node, request, finish);
  });
}

void Users::deliver(std::size_t node, const net::Request& request, const Done& done) {
  auto& process = world_.processes.at(node);
  if (!process.alive()) return;
  process.request(request, [this, done](const net::Response& response) {
    if (world_.random() < world_.network.loss) return;
    world_.loop.after(kOneWayDelay, [done, response] { done(response); });
  });
}

void Users::expect(const wire::JobSpec& spec) {
  specs_[spec.id] = spec;
  world_.rules.submitted(spec);
}

void Users::submit(const wire::JobSpec& spec) {
  expect(spec);
  repeat_submit(spec, world_.loop.now() + kRepeatFor);
}

void Users::submit_at(std::size_t node, const wire::JobSpec& spec,
                      std::function<void()> otherwise) {
  const double asked = world_.loop.now();
  send(node, submit_request(spec), kResponseLimit,
       [this, spec, asked,
        otherwise = std::move(otherwise)](const std::optional<net::Response>& response) {
         const int status = response ? response->status : 0;
         // A 201 carries a state like any other answer: it once escaped the check of went_back.
         if (status == 200 || status == 201)
           return told_state(spec.id, job_state_in(*response), asked);
         if (status == 400 || status == 422) return world_.rules.told_refused(spec.id);
         otherwise();
       });
}

void Users::repeat_submit(const wire::JobSpec& spec, double until) {
  submit_at(world_.pick(world_.node_count()), spec, [this, spec, until] {
    if (world_.loop.now() < until)
      world_.loop.after(kRepeatEvery, [this, spec, until] { repeat_submit(spec, until); });
  });
}

void Users::cancel(const std::string& id) {
  world_.rules.cancel_asked(id);
  repeat_cancel(id, world_.loop.now() + kRepeatFor);
}

void Users::repeat_cancel(const std::string& id, double until) {
  const double asked = world_.loop.now();
  send(world_.pick(world_.node_count()), cancel_request(id), kResponseLimit,
       [this, id, until, asked](const std::optional<net::Response>& response) {
         const int status = response ? response->status : 0;
         if (status == 200) return note_status(id, *response, asked);
         if (status == 404) return world_.rules.told_missing(id, asked);
         if (world_.loop.now() < until)
           world_.loop.after(kRepeatEvery, [this, id, until] { repeat_cancel(id, until); });
       });
}

void Users::poll(const std::string& id) { poll_at(world_.pick(world_.node_count()), id); }

void Users::poll_at(std::size_t node, const std::string& id) {
  const double asked = world_.loop.now();
  send(node, status_request(id), kPollLimit,
       [this, id, asked](const std::optional<net::Response>& response) {
         const int status = response ? response->status : 0;
         if (status == 404) return world_.rules.told_missing(id, asked);
         if (status != 200) return;
         replied_at_[id] = world_.loop.now();
         note_status(id, *response, asked);
       });
}

bool Users::cancel_at(std::size_t node, const std::string& id, double patience_s) {
  world_.rules.cancel_asked(id);
  const double asked = world_.loop.now();
  // Shared, for the response may come after the wait.
  auto cancelled = std::make_shared<bool>(false);
  world_.send_to_node(node, cancel_request(id),
                      [this, id, asked, cancelled](const net::Response& response) {
                        if (response.status == 404) return world_.rules.told_missing(id, asked);
                        if (response.status != 200) return;
                        note_status(id, response, asked);
                        *cancelled = job_state_in(response) == wire::JobState::cancelled;
                      });
  world_.run_for(patience_s);
  return *cancelled;
}

void Users::note_status(const std::string& id, const net::Response& response, double asked) {
  const auto state = job_state_in(response);
  told_[id] = state;
  told_state(id, state, asked);
}

void Users::told_state(const std::string& id, wire::JobState state, double asked) {
  world_.rules.told_status(world_.loop.now(), id, state, asked);
  if (close_looks_ && looked_at_.insert({id, state}).second) look_at_all_nodes(id);
}

void Users::look_at_all_nodes(const std::string& id) {
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

std::optional<wire::JobState> Users::last_told(const std::string& id) const {
  const auto found = told_.find(id);
  if (found == told_.end()) return std::nullopt;
  return found->second;
}

double Users::replied_at(const std::string& id) const {
  const auto found = replied_at_.find(id);
  return found == replied_at_.end() ? -1 : found->second;
}

}  // namespace elmstall::test
