#include "autoscaler/machine_list.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "config/constants.hpp"

namespace elmstall::autoscaler {

namespace k = constants;

MachineList::MachineList(runtime::EventLoop& event_loop, runtime::CommandQueue& queue,
                         clients::Cloud& cloud, state::Model& model,
                         std::function<void(state::Machine&)> machine_lost)
    : loop_(event_loop),
      cloud_(cloud),
      model_(model),
      machine_lost_(std::move(machine_lost)),
      scope_(queue) {}

void MachineList::read_if_due(double now) {
  if (reading_ || now < next_read_at_) return;
  reading_ = true;
  entries_.clear();
  request_page_after("");
}

void MachineList::request_page_after(const std::string& last_id) {
  cloud_.list(last_id, scope_.wrap([this](std::optional<wire::CloudPage> page) {
    // A page that announces more but has no entry can't be continued, and is not the last one
    // either: machines on later pages must not count as missing from the list.
    if (!page || (page->truncated && page->machines.empty())) {
      reading_ = false;
      next_read_at_ = loop_.now() + k::kAutoscaleInterval;
      return;
    }
    entries_.insert(entries_.end(), page->machines.begin(), page->machines.end());
    if (page->truncated) return request_page_after(page->machines.back().id);
    apply_list();
  }));
}

void MachineList::apply_list() {
  reading_ = false;
  read_once_ = true;
  const double now = loop_.now();
  next_read_at_ = now + k::kListInterval;
  for (auto& [id, machine] : model_.machines()) machine->listed = false;
  for (const auto& entry : entries_) apply_entry(entry, now);
}

void MachineList::apply_entry(const wire::CloudMachine& entry, double now) {
  // Because the list lags behind, it may still show machines that this leader has deleted.
  if (model_.terminated(entry.id)) return;
  const bool known = model_.find_machine(entry.id) != nullptr;
  auto& machine = model_.machine(entry.id);
  if (machine.type.empty())
    model_.update_attributes(machine, entry.type, entry.zone, entry.spot, entry.addr);
  if (!known) machine.provisioned_at = now - entry.age_s;
  machine.listed = true;
  if (entry.state == wire::CloudMachine::State::failed && !machine.reported_failed) {
    // A failed machine never comes back, so this holds however late the list is (rule 6).
    machine.reported_failed = true;
    spdlog::info("machine {} is listed as failed by the cloud", machine.id);
    machine_lost_(machine);
  }
}

}  // namespace elmstall::autoscaler
