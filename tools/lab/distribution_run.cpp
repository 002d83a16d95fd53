#include "distribution_run.hpp"

#include <malloc.h>
#include <time.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "distribution_simulation.hpp"

namespace wingslip::lab {
namespace {

using namespace wingslip::distribution;
using nlohmann::json;

// Bounds set by the operators: the command fails if a result exceeds one.
constexpr double kMaxDeliveryToAllMs = 18'000;
constexpr double kMaxBytesPerSecond = 17'000;  // of a subscriber, in and out, in its worst ten seconds
constexpr double kMaxCoreShare = 0.028;        // of one core, for one subscriber in a storm
constexpr double kMaxCopyBytes = 256e6;

// Heartbeats that a subscriber receives (SessionLimits::heartbeatInterval).
constexpr double kHeartbeatsPerSecond = 0.5;

constexpr int kCostChanges = 20'000;  // changes, and then heartbeats, of a cost measurement
constexpr const char* kSimulationNotice =
    "entries, ranges and records are shared between the simulated copies, so memory figures do not apply to "
    "a gatekeeper; sockets, bandwidth and processor time of a machine are not modelled";

struct NamedScenario {
  const char* name;
  DistributionScenario scenario;
};
constexpr NamedScenario kScenarios[] = {
    {"steady", DistributionScenario::steady},           {"replica_dies", DistributionScenario::replica_dies},
    {"writer_dies", DistributionScenario::writer_dies}, {"zone_restart", DistributionScenario::zone_restart},
    {"zone_cold", DistributionScenario::zone_cold},     {"regions_part", DistributionScenario::regions_part}};

struct CommandOptions {
  DistributionOptions simulation;
  std::string scenario = "steady";
  std::string out = "lab-out";
};

json toJson(const Quantiles& q) { return {{"median", q.median}, {"p99", q.p99}, {"worst", q.worst}}; }

json toJson(const TrafficRates& r) {
  return {{"bytes_in_s", r.meanBytesIn},       {"bytes_out_s", r.meanBytesOut},
          {"messages_in_s", r.meanMessagesIn}, {"messages_out_s", r.meanMessagesOut},
          {"worst_bytes_s", r.worstBytes},     {"worst_ten_seconds_bytes_s", r.worstTenSecondBytes}};
}

json toJson(const DistributionOptions& o) {
  return {{"regions", o.regions},
          {"zones", o.zones},
          {"subscribers", o.subscribers},
          {"entries", o.entries},
          {"changes_s", o.changesPerSecond},
          {"storm_factor", o.stormFactor},
          {"loss", o.loss},
          {"delay_ms", {{"zone", o.zoneDelay}, {"region", o.regionDelay}, {"far", o.farDelay}}},
          {"seed", o.seed},
          {"hollow", kSimulationNotice}};
}

json toJson(const DistributionPhase& p, const DistributionResult& result) {
  json line{{"phase", p.name},
            {"seconds", p.seconds},
            {"changes", p.changes},
            {"uncommitted", p.uncommitted},
            {"deliveries", p.deliveries},
            {"delivery_ms", toJson(p.delivery)},
            {"everywhere_ms", toJson(p.deliveryToAll)},
            {"subscriber", toJson(p.subscriber)},
            {"replica", toJson(p.replica)},
            {"writer", toJson(p.writer)},
            {"bytes_a_change_and_subscriber", p.bytesPerChangeAndSubscriber},
            {"messages_a_change_and_subscriber", p.messagesPerChangeAndSubscriber}};
  if (p.changes == 0) return line;
  const double wholeBytesPerSecond =
      result.fullConfigurationBytes * static_cast<double>(p.changes) / p.seconds;
  const double bytesPerSecond = p.subscriber.meanBytesIn + p.subscriber.meanBytesOut;
  line["baseline_whole_file"] = {
      {"bytes_s", wholeBytesPerSecond},
      {"ratio", wholeBytesPerSecond / bytesPerSecond},
      {"ms_at_17_kB_s", 1000 * result.fullConfigurationBytes / kMaxBytesPerSecond}};
  return line;
}

json toJson(const DistributionResult& r) {
  return {{"differing_copies", r.differingCopies},
          {"failovers", r.failovers},
          {"repairs", r.repairs},
          {"conflicts", r.conflicts},
          {"restarted", r.restarted},
          {"recovered", r.recovered},
          {"recovery_ms", toJson(r.recovery)},
          {"restarted_bytes_each", r.restartedMeanBytes},
          {"most_subscribers_at_a_replica", r.maxSubscribersAtAReplica},
          {"most_transfers_at_a_replica", r.maxTransfersAtAReplica},
          {"whole_file_bytes", r.fullConfigurationBytes},
          {"staleness_ms_at_the_end", r.meanStalenessMs}};
}

double threadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double allocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// Encodes each message sent, because that is part of the measured cost, and discards everything else.
struct DiscardingEnvironment : Subscriber::Environment {
  void send(const std::string&, Message message) override { bytesOut += encode(message).size(); }
  void onChangesApplied(Version, const std::vector<EffectiveChange>&) override {}
  void log(const std::string&) override {}
  std::size_t bytesOut = 0;
};

std::optional<std::string> acceptAll(const Entry&) { return std::nullopt; }

// Returns `changes` encoded Changes messages with one record each, as a replica sends them.
std::vector<std::vector<std::uint8_t>> encodeChanges(const Snapshot& configuration, int changes) {
  std::mt19937_64 random(7);
  std::vector<EntryPointer> entries;
  configuration.table.forEach([&entries](const EntryPointer& entry) { entries.push_back(entry); });
  EntryTable table = configuration.table;
  std::vector<std::vector<std::uint8_t>> messages;
  Version version = configuration.version;
  for (int i = 0; i < changes; ++i) {
    auto record = std::make_shared<ChangeRecord>();
    record->version = version + 1;
    record->term = 1;
    record->requestId = "request" + std::to_string(i);
    const Entry& old = *entries[random() % entries.size()];
    std::string value = old.value;
    value[random() % value.size()] = static_cast<char>('a' + random() % 26);
    record->edits.push_back({makeEntry(old.key, value, record->version, 1), false});
    record->rootHash = table.rootHashAfter(record->edits);
    table.apply(*record);
    messages.push_back(encode(Changes{version, 1, {record}, record->version, record->rootHash, 1}));
    ++version;
  }
  return messages;
}

// Processor time and sizes for one subscriber; `changeBytes` is the encoded size of one change.
struct CostResult {
  double microsecondsPerChange = 0, microsecondsPerHeartbeat = 0, copyBytes = 0, readSeconds = 0,
         changeBytes = 0;
};

// Measures one subscriber: the processor time of this thread for reading a snapshot, for decoding, applying
// and acknowledging changes, and for heartbeats, and the memory allocated for its copy.
CostResult measureCost(int entries) {
  CostResult result;
  DiscardingEnvironment environment;
  Subscriber subscriber({}, {"r0"}, "build", acceptAll, 1, environment);
  const Snapshot configuration = makeConfiguration(entries, 1);
  const auto messages = encodeChanges(configuration, kCostChanges);
  const std::string file = encodeSnapshot(configuration);
  const double readStart = threadCpuSeconds();
  const double before = allocatedBytes();
  subscriber.restore(decodeSnapshot(file));
  result.copyBytes = allocatedBytes() - before;
  result.readSeconds = threadCpuSeconds() - readStart;
  subscriber.start(0);
  subscriber.tick(0);
  const double begin = threadCpuSeconds();
  for (const auto& message : messages) subscriber.receiveBytes(1, "r0", message.data(), message.size());
  const double end = threadCpuSeconds();
  if (subscriber.counts().applied != static_cast<std::uint64_t>(kCostChanges))
    throw std::runtime_error("distribution: not all changes of the cost measurement were applied");
  result.microsecondsPerChange = 1e6 * (end - begin) / kCostChanges;
  result.changeBytes = static_cast<double>(messages.front().size());
  const auto heartbeat =
      encode(Changes{subscriber.version(), 1, {}, subscriber.version(), subscriber.table().rootHash(), 1});
  const double heartbeatsStart = threadCpuSeconds();
  for (int i = 0; i < kCostChanges; ++i) subscriber.receiveBytes(2, "r0", heartbeat.data(), heartbeat.size());
  result.microsecondsPerHeartbeat = 1e6 * (threadCpuSeconds() - heartbeatsStart) / kCostChanges;
  return result;
}

json costLine(int entries, const DistributionOptions& options) {
  const CostResult cost = measureCost(entries);
  const auto coreShare = [&cost](double rate) {
    return 1e-6 * (rate * cost.microsecondsPerChange + kHeartbeatsPerSecond * cost.microsecondsPerHeartbeat);
  };
  return {{"cost", "one subscriber, processor time of its thread"},
          {"entries", entries},
          {"changes", kCostChanges},
          {"us_a_change", cost.microsecondsPerChange},
          {"us_a_heartbeat", cost.microsecondsPerHeartbeat},
          {"core_share_mean", coreShare(options.changesPerSecond)},
          {"core_share_storm", coreShare(options.changesPerSecond * options.stormFactor)},
          {"core_share_bound", kMaxCoreShare},
          {"copy_bytes_allocated", cost.copyBytes},
          {"copy_bytes_bound", kMaxCopyBytes},
          {"read_snapshot_s", cost.readSeconds},
          {"message_bytes", cost.changeBytes}};
}

// Writes the results of a scenario to `lines` and to standard output. Returns whether it met the bounds.
bool report(const std::string& name, const DistributionOptions& options, const DistributionResult& result,
            std::ostream& lines) {
  bool withinBounds =
      result.differingCopies == 0 && result.conflicts == 0 && result.recovered == result.restarted;
  for (const DistributionPhase& phase : result.phases) {
    json line = toJson(phase, result);
    line["scenario"] = name;
    lines << line << "\n";
    std::cout << name << " " << line.dump() << "\n";
    withinBounds = withinBounds && phase.uncommitted == 0 &&
                   phase.deliveryToAll.worst <= kMaxDeliveryToAllMs &&
                   phase.subscriber.worstTenSecondBytes <= kMaxBytesPerSecond;
  }
  json line = toJson(result);
  line["scenario"] = name;
  line["options"] = toJson(options);
  line["bounds_kept"] = withinBounds;
  lines << line << "\n";
  std::cout << name << " " << line.dump() << "\n";
  return withinBounds;
}

int runCommand(const CommandOptions& command) {
  std::filesystem::create_directories(command.out);
  std::ofstream lines(std::filesystem::path(command.out) / "distribution.jsonl", std::ios::app);
  if (!lines)
    throw std::runtime_error("distribution: cannot open distribution.jsonl for appending in " + command.out);
  bool withinBounds = true;
  if (command.scenario == "cost") {
    for (const int entries : {command.simulation.entries / 32, command.simulation.entries}) {
      const json line = costLine(entries, command.simulation);
      lines << line << "\n";
      std::cout << line.dump() << "\n";
      withinBounds = withinBounds && line["core_share_storm"].get<double>() <= kMaxCoreShare &&
                     line["copy_bytes_allocated"].get<double>() <= kMaxCopyBytes;
    }
    return withinBounds ? 0 : 1;
  }
  for (const NamedScenario& named : kScenarios) {
    if (command.scenario != named.name) continue;
    DistributionOptions options = command.simulation;
    options.scenario = named.scenario;
    withinBounds = report(named.name, options, simulateDistribution(options), lines);
  }
  return withinBounds ? 0 : 1;
}

}  // namespace

void addDistributionCommand(CLI::App& app) {
  auto command = std::make_shared<CommandOptions>();
  DistributionOptions& options = command->simulation;
  CLI::App* sub = app.add_subcommand("distribution", "simulate the distribution of configuration to a fleet");
  sub->add_option(
         "--scenario", command->scenario,
         "scenario to simulate; `cost` measures the processor time of a change at a gatekeeper instead")
      ->check(CLI::IsMember(
          {"steady", "replica_dies", "writer_dies", "zone_restart", "zone_cold", "regions_part", "cost"}));
  sub->add_option("--subscribers", options.subscribers, "gatekeepers")->check(CLI::Range(1, 20'000));
  sub->add_option("--zones", options.zones, "number of zones, with one control replica each")
      ->check(CLI::Range(1, 100));
  sub->add_option("--regions", options.regions, "regions")->check(CLI::Range(1, 100));
  sub->add_option("--entries", options.entries, "number of configuration entries")
      ->check(CLI::Range(64, 200'000));
  sub->add_option("--rate", options.changesPerSecond, "mean rate of changes, per second")
      ->check(CLI::Range(0.001, 100.0));
  sub->add_option("--storm", options.stormFactor,
                  "rate of changes in the storm, as a multiple of the mean rate")
      ->check(CLI::Range(1.0, 100.0));
  sub->add_option("--seconds", options.meanSeconds, "duration at the mean rate in seconds")
      ->check(CLI::Range(1, 100'000));
  sub->add_option("--storm-seconds", options.stormSeconds, "duration of the storm in seconds")
      ->check(CLI::Range(1, 100'000));
  sub->add_option("--loss", options.loss, "fraction of messages lost")->check(CLI::Range(0.0, 0.5));
  sub->add_option("--region-delay", options.regionDelay, "one-way delay between zones of a region, in ms")
      ->check(CLI::Range(0, 10'000));
  sub->add_option("--far-delay", options.farDelay, "one-way delay between regions, in ms")
      ->check(CLI::Range(0, 10'000));
  sub->add_option("--seed", options.seed, "seed");
  sub->add_option("--out", command->out, "folder for results, which are appended to distribution.jsonl");
  sub->callback([command] { throw CLI::RuntimeError(runCommand(*command)); });
}

}  // namespace wingslip::lab
