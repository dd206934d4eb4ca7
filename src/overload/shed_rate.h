/// @file
/// What fraction of its requests the server sheds.
#pragma once

namespace cottonwing::overload {

/// The fraction of the arriving requests that was shed of late, and from it whether the server is overloaded.
class ShedRate {
public:
    void recordArrival() { recentArrivals_ += 1; }
    void recordShed() { recentlyShed_ += 1; }

    /// Updates the fraction, at each control tick.
    void update(double elapsedSeconds);

    /// Decides whether the server is overloaded: from 15% shed until under 2% are.
    /// @return whether that changed.
    bool updateOverloaded();

    /// @return smoothed fraction of the arrivals that was shed, from 0 to 1.
    double fraction() const { return fraction_; }
    bool overloaded() const { return overloaded_; }

    /// @return arrivals that fade within about a second, and so their rate per second.
    double recentArrivals() const { return recentArrivals_; }

private:
    double recentArrivals_ = 0;
    double recentlyShed_ = 0;
    double fraction_ = 0;
    bool overloaded_ = false;
};

}  // namespace cottonwing::overload
