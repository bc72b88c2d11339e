#include "api/user_api.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.hpp"
#include "sched/resources.hpp"

namespace elmstall::api {

namespace k = constants;
using store::Outcome;

UserApi::CallPtr UserApi::enter(net::Responder respond, double patience_s) {
  if (!limit_.try_enter()) {
    respond({503, {}, k::kRetryAfter});
    return nullptr;
  }
  const double now = loop_.now();
  auto call = std::make_shared<Call>();
  call->deadline = now + patience_s;
  call->respond = [this, now, respond = std::move(respond)](net::Response response) {
    // A 503 tells of the state service, not of our own load.
    limit_.leave(response.status == 503 ? -1 : loop_.now() - now);
    respond(std::move(response));
  };
  return call;
}

void UserApi::later(const CallPtr& call) { call->respond({503, {}, k::kRetryAfter}); }

void UserApi::reply(const CallPtr& call, int status, const wire::JobStatus& state, bool counts) {
  call->respond({status, wire::encode_status(state, counts), 0});
}

void UserApi::refuse(const CallPtr& call, int status, const std::string& text) {
  wire::Packer packer;
  packer.map(1).key("error").text(text);
  call->respond({status, packer.take(), 0});
}

void UserApi::retry(const CallPtr& call, std::function<void()> again) {
  if (loop_.now() + k::kStateRetry >= call->deadline) return later(call);
  loop_.after(k::kStateRetry / 2, scope_.wrap(std::move(again)));
}

void UserApi::if_known(const CallPtr& call, bool counts, std::function<void()> otherwise) {
  const auto& id = call->id;
  // What is final never changes: no read index is needed.
  if (mirror_.final_state(id)) return reply(call, 200, mirror_.status(id), counts);
  read_index_.request(
      call->deadline - loop_.now(),
      [this, call, counts, otherwise = std::move(otherwise)](bool current) {
        if (!current) return later(call);
        if (mirror_.final_state(call->id) || mirror_.job(call->id) != nullptr)
          return reply(call, 200, mirror_.status(call->id), counts);
        // Not among the live jobs; it may be over since before this node began.
        store_.get(store::final_key(call->id),
                   scope_.wrap([this, call, counts, otherwise](const store::GetResult& result) {
                     if (result.outcome == Outcome::missing) return otherwise();
                     if (result.outcome != Outcome::ok) return later(call);
                     mirror_.remember_final(call->id, store::decode_final(result.entry.value));
                     reply(call, 200, mirror_.status(call->id), counts);
                   }));
      });
}

void UserApi::poll(const std::string& id, net::Responder respond) {
  auto call = enter(std::move(respond), k::kPollDeadline);
  if (!call) return;
  call->id = id;
  if (!wire::valid_job_id(id)) return refuse(call, 404, "no such job");
  if_known(call, true, [call] { refuse(call, 404, "no such job"); });
}

std::string UserApi::objection(wire::JobSpec& spec) const {
  const auto* team = settings_.team(spec.team);
  if (team == nullptr) return "unknown team";
  const sched::Amount need{spec.cpus, spec.gpus, spec.memory_gb};
  if (!spec.types.empty()) {
    std::erase_if(spec.types, [this](const std::string& type) {
      return std::none_of(machine_types_.begin(), machine_types_.end(),
                          [&](const auto& machine_type) { return machine_type.name == type; });
    });
    if (spec.types.empty()) return "no allowed machine type exists";
  }
  const bool fits = std::any_of(
      machine_types_.begin(), machine_types_.end(), [&](const wire::MachineType& machine_type) {
        const bool type_ok = spec.types.empty() || std::find(spec.types.begin(), spec.types.end(),
                                                             machine_type.name) != spec.types.end();
        const bool zone_ok = !spec.zone || machine_type.zones.empty() ||
                             std::find(machine_type.zones.begin(), machine_type.zones.end(),
                                       *spec.zone) != machine_type.zones.end();
        return type_ok && zone_ok &&
               need.fits({machine_type.cpus, machine_type.gpus, machine_type.memory_gb});
      });
  if (!fits) return "a task fits no allowed machine type";
  // An array runs within any limit that holds one of its tasks; the others need
  // all of theirs at once.
  const double count = spec.kind == wire::JobKind::array ? 1 : spec.tasks;
  if (!sched::within_limit(*team, need * count)) return "more than the team's limit";
  const auto limits = settings_.state_limits();
  if (spec.kind == wire::JobKind::gang &&
      !store::startable_at_once(spec.tasks, limits.value_kb, settings_.state.value_kb))
    return "a gang of so many tasks can't be recorded at once";
  if (store::json_size({spec, false, loop_.wall()}) > store::value_bytes(limits.value_kb))
    return "its record is larger than the state service takes";
  return {};
}

void UserApi::submit(const std::string& body, net::Responder respond) {
  auto call = enter(std::move(respond), k::kUserDeadline);
  if (!call) return;
  try {
    const auto document = wire::Document::parse(body);
    // Read first: an id that was accepted before keeps its answer, whatever
    // else is sent with it now.
    call->id = wire::decode_job_id(document.root());
    call->spec = wire::decode_job(document.root());
  } catch (const wire::DecodeError& error) {
    spdlog::info("a submission is malformed: {}", error.what());
    if (call->id.empty()) return refuse(call, 400, error.what());
    return if_known(call, false,
                    [call, problem = std::string(error.what())] { refuse(call, 400, problem); });
  }
  if (mirror_.final_state(call->id) || mirror_.job(call->id) != nullptr) {
    return if_known(call, false, [call] { later(call); });
  }
  if (machine_types_.empty()) return later(call);
  if (const auto problem = objection(call->spec); !problem.empty()) {
    // An id that was accepted before keeps its answer, whatever is sent now.
    return if_known(call, false, [call, problem] { refuse(call, 422, problem); });
  }
  create(call);
}

void UserApi::create(const CallPtr& call) {
  wire::Transaction transaction;
  // Guarded on the final record too: a copy of this request that arrives
  // after the job is over must not create it again.
  transaction.preconditions = {{store::job_key(call->id), 0}, {store::final_key(call->id), 0}};
  transaction.writes = {{store::job_key(call->id),
                         store::encode(store::JobRecord{call->spec, false, loop_.wall()}), 0}};
  store_.commit(std::move(transaction),
                scope_.wrap([this, call](const store::CommitResult& result) {
                  switch (result.outcome) {
                    case Outcome::ok:
                      return reply(call, 201, {call->id, wire::JobState::queued, 0, 0}, false);
                    case Outcome::conflict:
                      return if_known(call, false, [call] { later(call); });
                    case Outcome::unavailable:
                      return retry(call, [this, call] { create(call); });
                    case Outcome::unknown:
                      return confirm_create(call);
                    default:
                      return later(call);
                  }
                }));
}

void UserApi::confirm_create(const CallPtr& call) {
  store_.get(store::job_key(call->id), scope_.wrap([this, call](const store::GetResult& result) {
    if (result.outcome == Outcome::ok)
      return reply(call, 201, {call->id, wire::JobState::queued, 0, 0}, false);
    if (result.outcome == Outcome::missing) return retry(call, [this, call] { create(call); });
    later(call);
  }));
}

void UserApi::cancel(const std::string& id, net::Responder respond) {
  auto call = enter(std::move(respond), k::kUserDeadline);
  if (!call) return;
  call->id = id;
  if (!wire::valid_job_id(id)) return refuse(call, 404, "no such job");
  mark_cancelled(call);
}

void UserApi::mark_cancelled(const CallPtr& call) {
  const auto* job = mirror_.job(call->id);
  if (job == nullptr) {
    // Over, unknown, or too new for this mirror.
    return read_index_.request(call->deadline - loop_.now(), [this, call](bool current) {
      if (!current && !mirror_.final_state(call->id)) return later(call);
      if (mirror_.job(call->id) != nullptr) return mark_cancelled(call);
      if_known(call, false, [call] { refuse(call, 404, "no such job"); });
    });
  }
  if (job->record.cancelled) return reply(call, 200, mirror_.status(call->id), false);
  const auto record =
      store::cancelled_record(job->record, store::value_bytes(settings_.state_limits().value_kb));
  wire::Transaction transaction;
  transaction.preconditions = {{store::job_key(call->id), job->mod_revision}};
  transaction.writes = {{store::job_key(call->id), store::encode(record), 0}};
  store_.commit(std::move(transaction),
                scope_.wrap([this, call](const store::CommitResult& result) {
                  if (result.outcome == Outcome::ok) {
                    cancelled_(call->id);
                    return reply(call, 200, {call->id, wire::JobState::cancelled, 0, 0}, false);
                  }
                  if (result.outcome == Outcome::unavailable)
                    return retry(call, [this, call] { mark_cancelled(call); });
                  // Changed by somebody else, or perhaps by this very request: look again
                  // with a mirror that is current.
                  read_index_.request(call->deadline - loop_.now(), [this, call](bool current) {
                    if (!current) return later(call);
                    retry(call, [this, call] { mark_cancelled(call); });
                  });
                }));
}

}  // namespace elmstall::api
