// Capacity credits: messages, home side and borrower side.
#ifndef SAMPHIREHILL_LIMITS_CREDITS_H
#define SAMPHIREHILL_LIMITS_CREDITS_H

#include "samphirehill/Limits/CreditHome.h"
#include "samphirehill/Limits/CreditTypes.h"
#include "samphirehill/Limits/CreditWallet.h"

#endif // SAMPHIREHILL_LIMITS_CREDITS_H
