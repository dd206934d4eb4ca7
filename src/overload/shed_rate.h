/// @file
/// The fraction of its requests that the server sheds.
#pragma once

namespace cottonwing::overload {

/// The fraction of the recently arrived requests that was shed, and whether it means that the server is
/// overloaded.
class ShedRate {
public:
    void recordArrival() { recentArrivals_ += 1; }
    void recordShed() { recentlyShed_ += 1; }

    /// Updates the fraction, at each control tick.
    void update(double elapsedSeconds);

    /// Updates whether the server is overloaded: an overload begins above 15% shed and ends below 2%.
    /// @return whether that changed.
    bool updateOverloaded();

    /// @return smoothed fraction of the arrivals that was shed, from 0 to 1.
    double fraction() const { return fraction_; }
    bool overloaded() const { return overloaded_; }

    /// @return exponentially decaying count of arrivals with a time constant of one second, which
    /// approximates their rate per second.
    double recentArrivals() const { return recentArrivals_; }

private:
    double recentArrivals_ = 0;
    double recentlyShed_ = 0;
    double fraction_ = 0;
    bool overloaded_ = false;
};

}  // namespace cottonwing::overload
