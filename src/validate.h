// Validation of the decision module's settings.
#ifndef GAUGECART_VALIDATE_H_
#define GAUGECART_VALIDATE_H_

#include "gaugecart/choice.h"

namespace gaugecart {

// Throws std::invalid_argument that names the first invalid field.
void Validate(const Settings& s);

}  // namespace gaugecart

#endif  // GAUGECART_VALIDATE_H_
