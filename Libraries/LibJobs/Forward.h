#pragma once

namespace zinc {

struct JobAnswer;
struct Submission;

}
