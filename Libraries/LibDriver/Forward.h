#pragma once

namespace zinc {

class CheckRunner;
class JobDriver;
class TaskRouter;

}
