#include "endpoint_watch/endpoint_list.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "config/config.hpp"

namespace wingslip {
namespace {

using nlohmann::json;

// Ids told to leave that are remembered; past it those of the oldest lists go. A release of 1,024 workers
// eight times over; 170 bytes each.
constexpr std::size_t kMostLeaving = 8192;

decision::WorkerPhase phaseOf(const std::string& lifecycle) {
  if (lifecycle == "Ready") return decision::WorkerPhase::ready;
  if (lifecycle == "Terminating") return decision::WorkerPhase::draining;
  if (lifecycle == "Gone") return decision::WorkerPhase::removed;
  throw std::runtime_error("unknown lifecycle " + lifecycle.substr(0, 40));
}

Instance readInstance(const json& entry) {
  Instance out;
  out.id = entry.at("instanceId").get<std::string>();
  out.phase = phaseOf(entry.at("lifecycle").get<std::string>());
  const std::string address = entry.value("hostPort", "");
  if (out.phase != decision::WorkerPhase::removed || !address.empty()) out.address = parseEndpoint(address);
  out.zone = entry.value("zone", "");
  out.kind = entry.value("machineType", "");
  out.cell = entry.value("cell", 0u);
  out.startedAtMs = entry.value("startedAtMs", 0.0);
  return out;
}

}  // namespace

Roster parseRoster(std::string_view text) {
  try {
    const json object = json::parse(text);
    Roster out;
    out.generation = object.at("generation").get<long long>();
    out.reset = object.value("reset", false);
    std::unordered_set<std::string> ids;
    for (const json& entry : object.at("instances")) {
      out.instances.push_back(readInstance(entry));
      if (!ids.insert(out.instances.back().id).second)
        throw std::runtime_error("named twice: " + out.instances.back().id.substr(0, 40));
    }
    return out;
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("list: ") + error.what());
  } catch (const std::runtime_error& error) {
    throw std::runtime_error(std::string("list: ") + error.what());
  }
}

void addTo(Roster& first, Roster&& next) {
  first.generation = next.generation;
  if (next.reset) {
    first = std::move(next);
    return;
  }
  std::unordered_map<std::string, std::size_t> at;
  for (std::size_t i = 0; i < first.instances.size(); ++i) at[first.instances[i].id] = i;
  for (Instance& instance : next.instances) {
    const auto [found, fresh] = at.try_emplace(instance.id, first.instances.size());
    if (fresh)
      first.instances.push_back(std::move(instance));
    else
      first.instances[found->second] = std::move(instance);
  }
}

// --- ObjectReader ----------------------------------------------------------------------------------------

std::optional<std::string_view> ObjectReader::next(std::string_view text) {
  for (; at_ < text.size(); ++at_) {
    const char c = text[at_];
    if (depth_ == 0) {
      if (c == '\n') ++beats_;
      if (c == '{')
        from_ = at_, depth_ = 1;
      else if (c == ' ' || c == '\t' || c == '\r' || c == '\n')
        done_ = at_ + 1;
      else
        throw std::runtime_error("list: no object");
    } else if (escaped_) {
      escaped_ = false;
    } else if (quoted_) {
      escaped_ = c == '\\';
      quoted_ = c != '"';
    } else if (c == '"') {
      quoted_ = true;
    } else if (c == '{') {
      ++depth_;
    } else if (c == '}' && --depth_ == 0) {
      done_ = ++at_;
      return text.substr(from_, done_ - from_);
    }
  }
  return std::nullopt;
}

std::size_t ObjectReader::heartbeats() { return std::exchange(beats_, 0); }

std::size_t ObjectReader::drop() {
  at_ -= done_;
  from_ -= std::min(from_, done_);
  return std::exchange(done_, 0);
}

// --- RosterHistory ---------------------------------------------------------------------------------------

bool RosterHistory::accept(Roster& list) {
  const bool old = list.generation < newest_;
  if (from_ >= 0 ? list.generation < from_ : old && !list.reset) {
    requestFullList();
    return false;
  }
  if (old) {
    for (Instance& instance : list.instances) {
      const auto known = leaving_.find(instance.id);
      if (known != leaving_.end() && instance.phase == decision::WorkerPhase::ready &&
          instance.startedAtMs <= known->second.startedAtMs)
        instance.phase = decision::WorkerPhase::draining;
    }
  } else if (list.reset) {
    byGeneration_.clear();
    leaving_.clear();
  }
  for (const Instance& instance : list.instances) record(instance, list.generation);
  from_ = list.generation;
  newest_ = std::max(newest_, list.generation);
  return true;
}

void RosterHistory::record(const Instance& instance, long long generation) {
  if (instance.phase == decision::WorkerPhase::ready) {
    if (const auto known = leaving_.find(instance.id); known != leaving_.end()) forget(known);
    return;
  }
  const auto known = leaving_.try_emplace(instance.id).first;
  setGeneration(known->first, known->second, std::max(known->second.generation, generation));
  known->second.startedAtMs = std::max(known->second.startedAtMs, instance.startedAtMs);
  if (leaving_.size() <= kMostLeaving) return;
  forget(leaving_.find(std::string(byGeneration_.begin()->second)));
}

void RosterHistory::setGeneration(const std::string& id, Leaving& known, long long generation) {
  byGeneration_.erase({known.generation, id});
  known.generation = generation;
  byGeneration_.insert({generation, id});
}

void RosterHistory::forget(LeavingById::iterator known) {
  byGeneration_.erase({known->second.generation, known->first});
  leaving_.erase(known);
}

}  // namespace wingslip
