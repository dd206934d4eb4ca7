#include "simulator/instance_host.h"

#include <exception>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "config/controller_config.h"
#include "overload/overload_controller.h"
#include "simulator/decision_writer.h"
#include "simulator/event_reader.h"
#include "simulator/wire_names.h"

namespace cottonwing::simulator {

struct InstanceHost::Instance {
    config::NameTables names;
    std::unique_ptr<OverloadController> controller;
    EventBatch events;  // of the current batch
};

InstanceHost::InstanceHost() = default;
InstanceHost::~InstanceHost() = default;

bool InstanceHost::serve(std::istream& in, std::string& reply) {
    if (!readLine(in)) return false;
    const WireLine batchBegin(lineText_, linesRead_);
    if (batchBegin.messageName() != wire::kBatchBegin)
        batchBegin.fail(wire::kMessageName, "a batch must begin with CLOCK");
    batchBegin.expectFields(wire::kBatchBeginFields);
    const Timestamp now = batchBegin.microseconds(wire::kClockUs);
    readEvents(in);
    decide(now, reply);
    reply.append(wire::kReplyEnd).append("\n");
    return true;
}

bool InstanceHost::readLine(std::istream& in) {
    if (!std::getline(in, lineText_)) return false;
    ++linesRead_;
    return true;
}

void InstanceHost::readEvents(std::istream& in) {
    instancesWithEvents_.clear();
    while (readLine(in)) {
        const WireLine line(lineText_, linesRead_);
        if (line.messageName() == wire::kBatchEnd) return line.expectFields(0);
        (this->*handlerFor(line))(line);
    }
    throw MalformedBatch::truncated(linesRead_);
}

InstanceHost::EventHandler InstanceHost::handlerFor(const WireLine& line) {
    static const std::map<std::string_view, EventHandler> kHandlers = {
        {wire::kInstanceStarted, &InstanceHost::onInstanceStarted},
        {wire::kInstanceStopped, &InstanceHost::onInstanceStopped},
        {wire::kRequestArrived, &InstanceHost::onRequestArrived},
        {wire::kClientCancelled, &InstanceHost::onClientCancelled},
        {wire::kWaitingForDependency, &InstanceHost::onWaitingForDependency},
        {wire::kDependencyCallCompleted, &InstanceHost::onDependencyCallCompleted},
        {wire::kRunCompleted, &InstanceHost::onRunCompleted},
        {wire::kTick, &InstanceHost::onTick},
        {wire::kShutdownNotice, &InstanceHost::onShutdownNotice},
    };
    const auto found = kHandlers.find(line.messageName());
    if (found == kHandlers.end()) line.fail(wire::kMessageName, "unknown message");
    return found->second;
}

// The instances decide in the order of their numbers, so that the reply does not depend on the order of the
// events.
void InstanceHost::decide(Timestamp now, std::string& reply) {
    for (const int number : instancesWithEvents_) {
        Instance& instance = *instances_.at(number);
        DecisionWriter decisions(number, reply);
        instance.events.now = now;
        try {
            instance.controller->decide(instance.events, decisions);
        } catch (const std::exception& error) {
            decisions.reportBug(error.what());
        }
        instance.events = EventBatch{};
    }
}

InstanceHost::Instance& InstanceHost::instanceOf(const WireLine& line) {
    const int number = line.instance();
    const auto found = instances_.find(number);
    if (found == instances_.end()) line.fail(wire::kInstance, "unknown instance");
    instancesWithEvents_.insert(number);
    return *found->second;
}

// If the number is already in use, the new instance replaces the old one and keeps none of its state.
void InstanceHost::onInstanceStarted(const WireLine& line) {
    const std::uint64_t seed = line.id(wire::kSeed);
    auto instance = std::make_unique<Instance>();
    try {
        const auto settings = nlohmann::json::parse(line.textToEnd(wire::kSettings));
        instance->controller =
            makeOverloadController(config::readControllerConfig(settings, seed, instance->names));
    } catch (const std::exception& error) {
        line.fail(wire::kSettings, error.what());
    }
    const int number = line.instance();
    instances_[number] = std::move(instance);
    instancesWithEvents_.insert(number);
}

void InstanceHost::onInstanceStopped(const WireLine& line) {
    line.expectFields(wire::kInstanceStoppedFields);
    instanceOf(line);
    instances_.erase(line.instance());
    instancesWithEvents_.erase(line.instance());
}

void InstanceHost::onRequestArrived(const WireLine& line) {
    Instance& instance = instanceOf(line);
    instance.events.arrivals.push_back(readRequest(line, instance.names));
}

void InstanceHost::onClientCancelled(const WireLine& line) {
    line.expectFields(wire::kRequestNoticeFields);
    instanceOf(line).events.clientCancellations.push_back(line.id(wire::kRequestId));
}

void InstanceHost::onWaitingForDependency(const WireLine& line) {
    line.expectFields(wire::kRequestNoticeFields);
    instanceOf(line).events.waitingForDependency.push_back(line.id(wire::kRequestId));
}

void InstanceHost::onDependencyCallCompleted(const WireLine& line) {
    instanceOf(line).events.dependencyResults.push_back(readCompletion(line));
}

void InstanceHost::onRunCompleted(const WireLine& line) {
    instanceOf(line).events.runResults.push_back(readCompletion(line));
}

void InstanceHost::onTick(const WireLine& line) {
    line.expectFields(wire::kTickFields);
    const Gauges gauges = readGauges(line);
    instanceOf(line).events.gauges = gauges;
}

void InstanceHost::onShutdownNotice(const WireLine& line) {
    line.expectFields(wire::kShutdownFields);
    const Timestamp processEndsAt = line.microseconds(wire::kShutdownAtUs);
    instanceOf(line).events.processEndsAt = processEndsAt;
}

}  // namespace cottonwing::simulator
