/// @file
/// The value of completing a request in time for the optimization goal: priority weight and fairness.
#pragma once

#include <vector>

#include "overload/types.h"

namespace cottonwing::overload {

/// The properties of a request on which its value depends.
struct ValuedRequest {
    int requestClass = 0;
    int tenant = -1;  ///< -1: none.
    bool isRetry = false;
    Duration work{0};  ///< Expected; 0: unknown.
};

/// Values requests by the priority weight of their class plus a fairness value, which favours the class with
/// the lowest success ratio on this server. The value falls with the fraction by which the tenant exceeds its
/// quota. A retry or hedged request has half the value of a first attempt, because every first attempt that
/// is shed is repeated.
class RequestValue {
public:
    struct Config {
        std::vector<RequestClass> requestClasses;
        std::vector<TenantQuota> tenants;
        double overQuotaValueFraction = 1;
        bool valueCountsWork = false;
        double goalTotalValue = 1;
        double goalWorstClass = 0;
        int peerCount = 1;
    };

    explicit RequestValue(Config config);

    /// Counts an arrival for its class and tenant; retries are not counted again.
    void recordArrival(const ValuedRequest& request);

    /// Counts a successful response.
    /// @param valueFraction 1 within the latency objective, the late value fraction after it.
    void recordSuccess(int requestClass, double valueFraction);

    /// Decays the counts exponentially with the elapsed time.
    void decay(double elapsedSeconds);

    /// @return the value of a response within the latency objective, relative to other requests.
    double valueOf(const ValuedRequest& request) const;

private:
    struct ClassCounts {
        double arrivals = 0;
        double succeeded = 0;
    };

    /// @return the value that the fairness goal adds for the class; highest for the one served worst.
    double fairnessValue(int requestClass) const;
    double tenantFactor(int tenant) const;

    Config config_;
    std::vector<ClassCounts> classes_;    ///< Exponentially decaying counts.
    std::vector<double> tenantArrivals_;  ///< Exponentially decaying counts.
};

}  // namespace cottonwing::overload
