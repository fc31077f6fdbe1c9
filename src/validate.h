// What the decision module takes for settings; no decision is made here.
#ifndef GAUGECART_VALIDATE_H_
#define GAUGECART_VALIDATE_H_

#include "gaugecart/choice.h"

namespace gaugecart {

// Throws std::invalid_argument naming the field if the settings are impossible.
void Validate(const Settings& s);

}  // namespace gaugecart

#endif  // GAUGECART_VALIDATE_H_
