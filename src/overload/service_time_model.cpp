#include "overload/service_time_model.h"

#include <algorithm>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kInitialObjectiveDivisor = 6;
constexpr double kMinRunWeight = 0.05;
constexpr double kExpectedWorkWeight = 0.05;
constexpr double kUnfinishedRunWeight = 0.1;
constexpr double kMaxSlowdown = 10.0;

void moveTowards(double& mean, double value, double weight) { mean += (value - mean) * weight; }

}  // namespace

ServiceTimeModel::ServiceTimeModel(const std::vector<RequestClass>& requestClasses) {
    for (const RequestClass& requestClass : requestClasses) {
        ClassMeans means;
        means.coreSeconds = toSeconds(requestClass.latencyObjective) / kInitialObjectiveDivisor;
        means.totalSeconds = means.coreSeconds;
        means.calls = requestClass.callsDependency ? 1.0 : 0.0;
        classes_.push_back(means);
    }
}

const ServiceTimeModel::ClassMeans& ServiceTimeModel::meansOf(int requestClass) const {
    return classes_[static_cast<std::size_t>(requestClass)];
}

ServiceTimeModel::ClassMeans& ServiceTimeModel::meansOf(int requestClass) {
    return classes_[static_cast<std::size_t>(requestClass)];
}

void ServiceTimeModel::recordExpectedWork(int requestClass, Duration work) {
    if (work <= Duration::zero()) return;
    double& mean = meansOf(requestClass).workSeconds;
    moveTowards(mean, toSeconds(work), mean > 0 ? kExpectedWorkWeight : 1.0);
}

void ServiceTimeModel::recordSuccess(int requestClass, const RunTimes& run) {
    ClassMeans& means = meansOf(requestClass);
    ++means.runs;
    const double weight = std::max(kMinRunWeight, 1.0 / means.runs);
    moveTowards(means.coreSeconds, run.coreSeconds, weight);
    moveTowards(means.totalSeconds, run.totalSeconds, weight);
    moveTowards(means.calls, run.dependencyCalls, weight);
}

void ServiceTimeModel::recordUnfinished(int requestClass, const RunTimes& soFar) {
    ClassMeans& means = meansOf(requestClass);
    if (soFar.coreSeconds <= means.coreSeconds) return;
    const double step = (soFar.coreSeconds - means.coreSeconds) * kUnfinishedRunWeight;
    means.totalSeconds += step;
    means.coreSeconds += step;
}

void ServiceTimeModel::updateSlowdown(const RunsOnCores& runs) {
    const double prior = runs.cores * meanBaselineCoreSeconds();
    slowdown_ = std::clamp((runs.ageSeconds + prior) / (runs.expectedSeconds + prior), 1.0, kMaxSlowdown);
}

double ServiceTimeModel::expectedCoreSeconds(int requestClass, Duration work) const {
    const ClassMeans& means = meansOf(requestClass);
    const bool workKnown = work > Duration::zero() && means.workSeconds > 0;
    const double relativeWork = workKnown ? toSeconds(work) / means.workSeconds : 1.0;
    return means.coreSeconds * relativeWork * slowdown_;
}

double ServiceTimeModel::expectedTotalSeconds(int requestClass, Duration work) const {
    const ClassMeans& means = meansOf(requestClass);
    const double waitSeconds = std::max(0.0, means.totalSeconds - means.coreSeconds);
    return expectedCoreSeconds(requestClass, work) + waitSeconds;
}

double ServiceTimeModel::expectedCalls(int requestClass) const { return meansOf(requestClass).calls; }

double ServiceTimeModel::baselineCoreSeconds(int requestClass) const {
    return meansOf(requestClass).coreSeconds;
}

double ServiceTimeModel::meanBaselineCoreSeconds() const {
    double sum = 0;
    for (const ClassMeans& means : classes_) sum += means.coreSeconds;
    return sum / static_cast<double>(classes_.size());
}

}  // namespace cottonwing::overload
