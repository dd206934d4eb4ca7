#include "net/clock.h"

namespace cottonwing::net {

Duration unixNow() {
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace cottonwing::net
