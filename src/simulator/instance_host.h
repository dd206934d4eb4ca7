// The simulator's wire: text lines in, text lines out. Decodes a batch into one round for each
// instance and encodes what the decision module wrote. No decisions here.
#pragma once

#include <istream>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

#include "overload/types.h"

namespace cottonwing::simulator {

// What is malformed, with the line and the field; never answered with a guess.
class MalformedBatch : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

class InstanceHost {
public:
    InstanceHost();
    ~InstanceHost();
    // Reads one batch and appends its whole reply; false at a clean end of input.
    bool serve(std::istream& in, std::string& reply);

private:
    struct Instance;
    std::map<int, std::unique_ptr<Instance>> instances_;
    std::size_t line_ = 0;
};

}  // namespace cottonwing::simulator
