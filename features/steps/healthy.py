"""Steps that wait until a deployment answers requests."""

from behave import given

from bench import deployment as deployment_lib

# A lease, plus the longest deadline of requests that a lost owner left running.
HEALTHY_WITHIN_S = 45.0


@given("lookups of all services are answered through every entry")
def wait_until_answered(context):
    deployment = context.deployment

    def are_answered():
        return all(
            context.caller.call(service, address=address).outcome == "answered"
            for service in deployment.shape.services
            for address in deployment.callers_addresses.values()
        )

    deployment_lib.wait_for(
        are_answered, HEALTHY_WITHIN_S, "all lookups are answered"
    )
